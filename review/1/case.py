"""REFUSED: a stream that ran and failed is answered with 503, "not run"."""

from __future__ import annotations

import asyncio
import sys
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
    "name": "r-fi6y7z5",
    "hostname": "ficu95.example",
    "pathPrefix": "/pufi791/",
    "kind": "streaming",
    "timeoutMs": 12000,
    "targetLatencyMs": 400,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 1,
    "public": False,
    "sticky": True,
    "resumable": False,
    "gapAimMs": 400,
}
RUNNERS = 5
GREY_RUNNER = "i-0"
"""One of five. The site has days on which all runners of a service are grey."""
GREY_SHARE = 0.45
"""Share of its requests that the grey runner fails, x of srv_grey in the site file."""
REQUESTS = 60
INTERVAL_S = 0.1
TROUBLE_S = REQUESTS * INTERVAL_S
"""6 s; srv_grey lasts 6.5 s in the site file."""
PIECES = 12
PIECE_INTERVAL_S = 0.05
BUDGET_MS = 12_000
PROMISES = (429, 503)
FAILURE = b'event: error\ndata: {"error": "out of memory"}\n\n'

_seen: Counter[str] = Counter()


def _fails(runner: Runner) -> bool:
    """Return whether a runner fails its present request: an even share of them."""
    if not has_trouble() or runner.runner_id != GREY_RUNNER:
        return False
    _seen[runner.runner_id] += 1
    count = _seen[runner.runner_id]
    return int(count * GREY_SHARE) > int((count - 1) * GREY_SHARE)


async def answer(
    runner: Runner, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with a stream; a grey runner fails while it works on the prompt.

    It doesn't say that it did not run the request, as it has begun to.
    """
    await asyncio.sleep(PIECE_INTERVAL_S)
    if _fails(runner):
        head = stream_head("503 Service Unavailable", request)
        writer.write(head + encode_chunk(FAILURE) + LAST_CHUNK)
        await writer.drain()
        return
    writer.write(stream_head("200 OK", request))
    for number in range(1, PIECES + 1):
        writer.write(encode_chunk(encode_piece(number)))
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
    writer.write(LAST_CHUNK)
    await writer.drain()


async def case(record: Record) -> list[str]:
    """Send streams that may run once, and look for promises that were not kept."""
    async with Deployment(
        net=81, routes=[ROUTE], runners=RUNNERS, answer=answer
    ) as deployment:
        addresses = await deployment.resolve(deployment.fleet.nodes[0])

        async def request(number: int) -> Received:
            attempt_id = f"a{number:015x}"
            fields = request_fields(attempt_id, BUDGET_MS) + prompt_fields(number)
            address = addresses[number % len(addresses)]
            record.add("sent", id=attempt_id, to=address)
            received = await send_request(
                address, "/pufi791/2f", fields, b"x" * 830, timeout_s=13.0
            )
            record.add(
                "answered",
                id=attempt_id,
                status=received.status,
                complete=received.is_complete,
                ran_on=deployment.runs_of(attempt_id),
            )
            return received

        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.ensure_future(request(number)))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*tasks)
        served = sum(a.status == 200 and a.is_complete for a in answers)
        record.add("served", count=served, of=len(answers))
        if served < REQUESTS // 4:
            message = f"only {served} of {REQUESTS} requests were served"
            raise RuntimeError(message)
        return [
            f"{a.attempt_id} was answered {a.status} and ran on "
            f"{deployment.runs_of(a.attempt_id)}"
            for a in answers
            if a.status in PROMISES and deployment.runs_of(a.attempt_id)
        ]


if __name__ == "__main__":
    run_case(FOLDER, case, limit_s=100.0)
