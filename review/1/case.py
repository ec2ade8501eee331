"""RECOVER: with one unreadable entry in the store no node serves after a restart."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from http_wire import Message, encode  # noqa: E402
from scenario import (  # noqa: E402
    SERVICE,
    Deployment,
    Received,
    Record,
    has_trouble,
    request_fields,
    run_case,
    send_request,
)
from standins import Runner, answer_fields  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Sequence

ROUTE = {
    "name": "r-puxa403",
    "hostname": "ficu95.example",
    "pathPrefix": "/puxa403/",
    "kind": "non_idempotent",
    "timeoutMs": 800,
    "targetLatencyMs": 400,
    "priority": 2,
    "service": SERVICE,
    "maxAttempts": 1,
    "public": False,
}
RUNNERS = 4
BUDGET_MS = 1_500
WORK_S = 0.05
INTERVAL_S = 0.04
FOREIGN_ENTRY = {"service": SERVICE, "address": "\ud800", "note": "another writer's"}
"""A field of it is no text: half of a surrogate pair, which JSON writes as \\ud800."""
FOREIGN_AT_S = 3.0
DRAINING_AT_S = 8.0
"""Longer than stableWindowMs after the foreign entry."""
DRAIN_WITHIN_S = 2.0
LINGER_S = 3.0
"""How much longer than that the runner serves: "a little longer (at times many
seconds)"."""
KILLED_AT_S = 15.0
DOWN_S = 0.5
RECOVERY_S = 12.0
MEASURED_S = 4.0
MIN_SHARE = 0.25

_leaving: set[str] = set()


async def answer(
    runner: Runner, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer after some work; a leaving runner also ends the channel."""
    await asyncio.sleep(WORK_S)
    fields = answer_fields(request)
    if runner.runner_id in _leaving:
        fields.append(("Connection", "close"))
    writer.write(encode("HTTP/1.1 200 OK", fields, b"x" * 800))
    await writer.drain()
    if runner.runner_id in _leaving:
        writer.close()


def _served(answers: Sequence[Received]) -> int:
    return sum(a.status == 200 and a.is_complete for a in answers)


async def case(record: Record) -> list[str]:
    """Write the entry, let a runner leave, kill all nodes, and see who is served."""
    async with Deployment(
        net=87, routes=[ROUTE], runners=RUNNERS, answer=answer
    ) as deployment:
        store, nodes = deployment.store, deployment.fleet.nodes
        addresses = await deployment.resolve(nodes[0])
        started_s = time.monotonic()
        tasks: list[tuple[float, asyncio.Task[Received]]] = []

        async def request(number: int) -> Received:
            attempt_id = f"a{number:015x}"
            address = addresses[number % len(addresses)]
            fields = request_fields(attempt_id, BUDGET_MS)
            received = await send_request(
                address, f"/puxa403/{number}", fields, b"x" * 600, timeout_s=2.0
            )
            record.add(
                "request",
                id=attempt_id,
                to=address,
                status=received.status,
                ran_on=deployment.runs_of(attempt_id),
            )
            return received

        async def send_until(end_s: float) -> None:
            while time.monotonic() < started_s + end_s:
                at_s = time.monotonic() - started_s
                tasks.append((at_s, asyncio.ensure_future(request(len(tasks)))))
                await asyncio.sleep(INTERVAL_S)

        async def answers(from_s: float, until_s: float) -> list[Received]:
            return [await task for at_s, task in tasks if from_s <= at_s < until_s]

        await send_until(FOREIGN_AT_S)
        if has_trouble():
            store.put("servers", "x-0", FOREIGN_ENTRY)
            record.add("foreign entry", name="servers/x-0")
        await send_until(DRAINING_AT_S)
        leaving = max(deployment.runners, key=lambda r: len(r.runs))
        entry = leaving.entry(deployment.zones[0], slots=64, is_engine=True)
        zone = deployment.zones[deployment.runners.index(leaving) % 3]
        _leaving.add(leaving.runner_id)
        store.put(
            "servers",
            leaving.runner_id,
            {**entry, "zone": zone, "state": "draining", "seq": 1},
        )
        confirmed_s = time.monotonic()
        record.add("draining, confirmed by the store", runner=leaving.runner_id)
        await send_until(DRAINING_AT_S + DRAIN_WITHIN_S + LINGER_S)
        leaving.crash()
        store.remove("servers", leaving.runner_id)
        record.add("exits", runner=leaving.runner_id)
        late = [
            run.request.get("X-Attempt-Id")
            for run in leaving.runs
            if run.at_s > confirmed_s + DRAIN_WITHIN_S
        ]
        record.add("also DRAIN: reached it later than drainMs", requests=late)
        await send_until(KILLED_AT_S)
        before = await answers(KILLED_AT_S - MEASURED_S, KILLED_AT_S)
        record.add("served before the fault", share=f"{_served(before)}/{len(before)}")
        if _served(before) < MIN_SHARE * len(before):
            message = "less than a quarter of the requests was served before the fault"
            raise RuntimeError(message)
        for node in nodes:
            node.send(signal.SIGKILL)
            await node.wait(5.0)
        record.add("all nodes killed")
        await asyncio.sleep(DOWN_S)
        await deployment.fleet.start()
        record.add("all nodes started")
        await asyncio.sleep(RECOVERY_S)
        from_s = time.monotonic() - started_s
        await send_until(from_s + MEASURED_S)
        after = await answers(from_s, from_s + MEASURED_S)
        share = f"{_served(after)}/{len(after)}"
        record.add("served later than recoveryS after the nodes were back", share=share)
        if _served(after) >= MIN_SHARE * len(after):
            return []
        return [f"{share} requests are served later than recoveryS after the fault"]


if __name__ == "__main__":
    run_case(FOLDER, case, limit_s=110.0)
