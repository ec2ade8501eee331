"""A runner leaves while the store cuts off watches that have waited for 0.5 s."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import world  # noqa: E402

SERVICE = "league-app"
DRAIN_S = world.BOUNDS["drainMs"] / 1000.0
CALM_S = 6.0
"""Longer than ``stableWindowMs``, so that all machines are in touch."""
CUT_AFTER_S = 0.5
"""A watch that has waited for so long is cut off."""
STAYS_S = 8.0
"""How long the runner serves on after its entry is gone: "at times many seconds"."""
CALLS_PER_S = 8.0


async def call_on(
    fleet: world.Fleet, node: world.Node, answers: list, stop: asyncio.Event
) -> None:
    """Send requests to one node at a steady rate."""
    number = 0
    tasks = []

    async def one(attempt: str) -> None:
        answer = await world.ask(node.front, attempt=attempt, path="/score-post/x")
        fleet.record.write(f"answer {attempt} {answer.status} {answer.end}")
        answers.append((node.name, answer))

    while not stop.is_set():
        number += 1
        attempt = f"{node.name}.{number}"
        fleet.record.write(f"send {attempt}")
        tasks.append(asyncio.create_task(one(attempt)))
        await asyncio.sleep(1.0 / CALLS_PER_S)
    await asyncio.gather(*tasks)


async def main() -> int:
    """Play the case and return the exit status."""
    async with world.Fleet(HERE, nodes=6) as fleet:
        routes = [world.route("score-post", "non_idempotent", SERVICE)]
        await fleet.store.put("config", "main", world.state(1, routes))
        for number in range(3):
            await fleet.add_runner(
                f"i-{number}", SERVICE, f"zone-{number + 1}", work_s=0.09
            )
        if world.has_trouble():
            fleet.store.cut_watch_after_s = CUT_AFTER_S
        await fleet.start_nodes()
        answers: list = []
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(call_on(fleet, node, answers, stop))
            for node in fleet.nodes
        ]
        await asyncio.sleep(CALM_S)
        leaving = fleet.runners["i-0"]
        revision = await fleet.store.remove("servers", "i-0")
        gone_s = time.monotonic()
        fleet.record.write(f"entry of i-0 removed at revision {revision}")
        await asyncio.sleep(STAYS_S)
        leaving.exit()
        exit_s = time.monotonic()
        fleet.record.write("i-0 exits")
        await asyncio.sleep(2.0)
        stop.set()
        await asyncio.gather(*tasks)
        read_s = {}
        for node, asked in fleet.store.confirmed_from.items():
            since = [
                at for at, kind, rev in asked if kind == "servers" and rev >= revision
            ]
            read_s[node] = min(since, default=None)
        late = []
        for arrival in leaving.arrivals:
            node = arrival.attempt.partition(".")[0]
            if read_s.get(node) is None:
                continue
            late_s = arrival.time_s - max(gone_s, read_s[node]) - DRAIN_S
            if late_s > 0.0:
                late.append(late_s)
        lost = [
            answer
            for _, answer in answers
            if answer.status not in (200, 503) and abs(answer.done_s - exit_s) < 0.5
        ]
        for node, at in read_s.items():
            when = "never" if at is None else f"{at - gone_s:.3f} s after"
            fleet.record.write(f"{node} watched on from the removal {when}")
        served = sum(answer.status == 200 for _, answer in answers)
        fleet.record.write(
            f"result: {len(answers)} requests, {served} served; {fleet.store.cuts}"
            f" watches cut; {len(late)} requests reached i-0 later than drainMs after"
            f" its leaving was acknowledged, the last {max(late, default=0):.2f} s"
            f" beyond; {len(lost)} lost as it ended"
        )
        print((HERE / "record.txt").read_text().splitlines()[-1])
        if served < len(answers) // 2:
            return 2
        return 1 if len(late) > 3 else 0


world.play(main)
