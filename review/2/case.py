"""ORDER: a broken stream ends as complete with the error of the next runner."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from http_wire import LAST_CHUNK, Message  # noqa: E402
from scenario import (  # noqa: E402
    SERVICE,
    Deployment,
    Received,
    Record,
    has_trouble,
    prompt_fields,
    request_fields,
    run_case,
    send_request,
)
from streams import encode_chunk, encode_piece, stream_head  # noqa: E402

if TYPE_CHECKING:
    from standins import Runner

ROUTE = {
    "name": "r-2yhvz3p",
    "hostname": "ficu95.example",
    "pathPrefix": "/lohu930/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "service": SERVICE,
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 400,
}
RUNNERS = 5
REQUESTS = 60
INTERVAL_S = 0.1
GREY_SHARE = 0.45
GREY_FROM_S = 3.5
GREY_S = 4.0
"""All runners fail this share of the requests that reach them in this time, as on a day
of the site file."""
CRASH_AT_S = 4.0
"""When the busiest runner of the five crashes; the site file has shares up to 0.25."""
ENTRY_LAPSE_S = 3.6
"""The entry of a crashed runner is removed after three status report intervals."""
PIECES = 20
PIECE_INTERVAL_S = 0.2
BUDGET_MS = 12_000
FAILURE = b'event: error\ndata: {"error": "out of memory"}\n\n'
STREAM = b"".join(encode_piece(number) for number in range(1, PIECES + 1))

_seen: Counter[str] = Counter()
_running: Counter[str] = Counter()
_grey_from_s: list[float] = []


def _fails(runner: Runner) -> bool:
    """Return whether a runner fails its present request: an even share of them."""
    if not _grey_from_s or time.monotonic() > _grey_from_s[0] + GREY_S:
        return False
    _seen[runner.runner_id] += 1
    count = _seen[runner.runner_id]
    return int(count * GREY_SHARE) > int((count - 1) * GREY_SHARE)


async def answer(
    runner: Runner, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with the stream from the event after the caller's last one.

    A runner that fails answers with status 500 instead.
    """
    await asyncio.sleep(PIECE_INTERVAL_S / 2)
    if _fails(runner):
        head = stream_head("500 Internal Server Error", request)
        writer.write(head + encode_chunk(FAILURE) + LAST_CHUNK)
        await writer.drain()
        return
    _running[runner.runner_id] += 1
    try:
        await _send_stream(request, writer)
    finally:
        _running[runner.runner_id] -= 1


async def _send_stream(request: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head("200 OK", request))
    for number in range(int(request.get("Last-Event-Id") or 0) + 1, PIECES + 1):
        writer.write(encode_chunk(encode_piece(number)))
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
    writer.write(LAST_CHUNK)
    await writer.drain()


async def _make_trouble(deployment: Deployment, record: Record) -> None:
    if not has_trouble():
        return
    await asyncio.sleep(GREY_FROM_S)
    _grey_from_s.append(time.monotonic())
    record.add("grey", runners=RUNNERS, share=GREY_SHARE, for_s=GREY_S)
    await asyncio.sleep(CRASH_AT_S - GREY_FROM_S)
    crashed = max(deployment.runners, key=lambda r: _running[r.runner_id])
    crashed.crash()
    record.add("crashed", runner=crashed.runner_id)
    await asyncio.sleep(ENTRY_LAPSE_S)
    deployment.store.remove("servers", crashed.runner_id)


async def case(record: Record) -> list[str]:
    """Send streams that may be resumed, and look for wrong ones that look complete."""
    async with Deployment(
        net=82, routes=[ROUTE], runners=RUNNERS, answer=answer
    ) as deployment:
        addresses = await deployment.resolve(deployment.fleet.nodes[0])

        async def request(number: int) -> Received:
            attempt_id = f"a{number:015x}"
            fields = request_fields(attempt_id, BUDGET_MS) + prompt_fields(number)
            address = addresses[number % len(addresses)]
            record.add("sent", id=attempt_id, to=address)
            received = await send_request(
                address, "/lohu930/2f", fields, b"x" * 12_000, timeout_s=13.0
            )
            record.add(
                "answered",
                id=attempt_id,
                status=received.status,
                complete=received.is_complete,
                events=received.body.count(b"\n\n"),
                ran_on=deployment.runs_of(attempt_id),
            )
            return received

        trouble = asyncio.ensure_future(_make_trouble(deployment, record))
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.ensure_future(request(number)))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*tasks)
        await trouble
        whole = sum(a.status == 200 and a.body == STREAM for a in answers)
        record.add("whole", count=whole, of=len(answers))
        if whole < REQUESTS // 4:
            message = f"only {whole} of {REQUESTS} streams were served"
            raise RuntimeError(message)
        return [
            f"{a.attempt_id} ended as complete with status 200 after "
            f"{a.body.count(b'data: piece')} of {PIECES} pieces; it ran on "
            f"{deployment.runs_of(a.attempt_id)}, and its last bytes are "
            f"{a.body[-len(FAILURE) :]!r}"
            for a in answers
            if a.status == 200 and a.is_complete and a.body != STREAM
        ]


if __name__ == "__main__":
    run_case(FOLDER, case, limit_s=100.0)
