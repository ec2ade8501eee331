"""Platform writes a request for keyed calls, with the real shard tasks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_node.claims.shard_task import PendingClaim, ShardTask
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.bench.bench_case import BenchCase
from clementineyoke_standins.bench.memory_object_api import MemoryObjectApi

if TYPE_CHECKING:
    from clementineyoke_core.claims.decision import ClaimDecision

SHARDS = 16
BATCH_MS = 10.0
PLATFORM_DELAY_MS = 5.0
SECONDS = 3.0
RATES_PER_S = (10, 100, 1_000)
PATIENCE_MS = 3_000.0


def measure_claims(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return writes a request at each rate; runs on the real clock."""
    cases: list[BenchCase] = []
    for rate_per_s in RATES_PER_S:
        writes, requests, median_ms = asyncio.run(_run(rate_per_s))
        name = "claims.writes_per_request"
        if rate_per_s != RATES_PER_S[-1]:
            name = f"{name}.{rate_per_s}"
        scale = f"{rate_per_s} posts a second, {SHARDS} shards"
        figures = (
            (name, "platform writes a request", writes / requests),
            (f"claims.writes_per_s.{rate_per_s}", "writes a second", writes / SECONDS),
            (f"claims.added_ms.{rate_per_s}", "median ms to the grant", median_ms),
        )
        cases += [
            BenchCase(key, metric, value, None, bounds.get(key), False, seed, scale)
            for key, metric, value in figures
        ]
    return cases


async def _run(rate_per_s: int) -> tuple[int, int, float]:
    objects = MemoryObjectApi(delay_ms=PLATFORM_DELAY_MS)
    waits_ms: list[float] = []
    async with AsyncExitStack() as stack:
        timers = await stack.enter_async_context(TimerService())
        tasks = [
            await stack.enter_async_context(
                ShardTask(
                    name=f"claims/{n}",
                    objects=objects,
                    timers=timers,
                    batch_ms=BATCH_MS,
                )
            )
            for n in range(SHARDS)
        ]
        count = round(rate_per_s * SECONDS)
        began_ms = timers.now_ms()
        for number in range(count):
            due_ms = began_ms + number * 1000 / rate_per_s
            await asyncio.sleep(max(0.0, (due_ms - timers.now_ms()) / 1000))
            _ask(tasks[number % SHARDS], number, timers, waits_ms)
        await asyncio.sleep(0.5)
    waits_ms.sort()
    return objects.writes, count, waits_ms[len(waits_ms) // 2]


def _ask(
    task: ShardTask, number: int, timers: TimerService, waits_ms: list[float]
) -> None:
    asked_ms = timers.now_ms()
    ask = ClaimAttempt(f"key-{number}", f"holder-{number}", "digest")

    def answer(decision: ClaimDecision) -> None:
        waits_ms.append(timers.now_ms() - asked_ms)
        task.report(ClaimReport(ask.key, ask.holder, True))

    task.submit(PendingClaim(ask, asked_ms + PATIENCE_MS, answer))
