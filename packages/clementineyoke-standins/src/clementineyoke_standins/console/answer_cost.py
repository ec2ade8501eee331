"""Measure the processor time that a node spends on a sound answer.

Run it on two builds in turn to compare them: the stand-ins stay the same if
``PYTHONPATH`` names the node's and the core's sources.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from random import Random

import aiohttp
import fire

from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.soak.caller import Caller
from clementineyoke_standins.soak.operator_state import RouteKind
from clementineyoke_standins.soak.soak_fleet import SoakFleet

US_PER_S = 1_000_000
STATUS_OK = 200
START_TIMEOUT_S = 30
AT_ONCE = 4
CASES = {
    "short answer": (RouteKind.IDEMPOTENT, 800),
    "answer of 200 kB": (RouteKind.IDEMPOTENT, 200_000),
    "answer of 200 kB, once": (RouteKind.NON_IDEMPOTENT, 200_000),
    "stream of 6 events": (RouteKind.STREAM, 0),
}


def run(calls: int = 1_000, case: str = "") -> None:
    """Print the processor time a call, in µs, for the forms whose names contain a text.

    Figures of one run differ by a tenth on a busy machine; compare several in turn.
    """
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_measure(Path(folder), calls, case))


async def _measure(folder: Path, calls: int, case: str) -> None:
    fleet = SoakFleet(nodes=1, runners=2, folder=folder)
    async with fleet, aiohttp.ClientSession() as session:
        (node,) = fleet.nodes
        caller = Caller(
            name="cost",
            endpoints=fleet.caller_endpoints,
            state=fleet.state,
            rng=Random(0),
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await _call(caller, session, RouteKind.IDEMPOTENT):
                await asyncio.sleep(0.1)
        for name, (kind, padding_bytes) in CASES.items():
            if case not in name:
                continue
            for runner in fleet.runners:
                runner.responses_by_prefix = {"/streaming/": ScriptedResponse.STREAM}
                runner.padding_bytes = padding_bytes
            await _call_many(caller, session, kind, calls // 10)
            started_s = node.cpu_s()
            served = await _call_many(caller, session, kind, calls)
            cost_us = (node.cpu_s() - started_s) / calls * US_PER_S
            print(f"{name}: {cost_us:.0f} µs a call, {served} of {calls} served")


async def _call_many(
    caller: Caller, session: aiohttp.ClientSession, kind: RouteKind, calls: int
) -> int:
    served = 0
    for _ in range(calls // AT_ONCE):
        results = (_call(caller, session, kind) for _ in range(AT_ONCE))
        served += sum(await asyncio.gather(*results))
    return served


async def _call(
    caller: Caller, session: aiohttp.ClientSession, kind: RouteKind
) -> bool:
    record = await caller.call(session, node=0, kind=kind, key=caller.current_key)
    return record.status == STATUS_OK


if __name__ == "__main__":
    fire.Fire(run)
