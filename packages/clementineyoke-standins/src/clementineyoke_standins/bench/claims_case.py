"""Measures platform writes per idempotency-keyed request, with real shard tasks."""

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
DURATION_S = 3.0
RATES_PER_S = (10, 100, 1_000)
CLAIM_TIMEOUT_MS = 3_000.0


def measure_claims(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return writes per request and added latency at each rate, in real time."""
    cases: list[BenchCase] = []
    for rate_per_s in RATES_PER_S:
        writes, requests, median_ms = asyncio.run(_measure_rate(rate_per_s))
        name = "claims.writes_per_request"
        if rate_per_s != RATES_PER_S[-1]:
            name = f"{name}.{rate_per_s}"
        scale = f"{rate_per_s} posts a second, {SHARDS} shards"
        metrics = (
            (name, "platform writes a request", writes / requests),
            (
                f"claims.writes_per_s.{rate_per_s}",
                "writes a second",
                writes / DURATION_S,
            ),
            (f"claims.added_ms.{rate_per_s}", "median ms to the grant", median_ms),
        )
        cases += [
            BenchCase(key, metric, value, None, bounds.get(key), False, seed, scale)
            for key, metric, value in metrics
        ]
    return cases


async def _measure_rate(rate_per_s: int) -> tuple[int, int, float]:
    objects = MemoryObjectApi(delay_ms=PLATFORM_DELAY_MS)
    latencies_ms: list[float] = []
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
        request_count = round(rate_per_s * DURATION_S)
        started_ms = timers.now_ms()
        for number in range(request_count):
            due_ms = started_ms + number * 1000 / rate_per_s
            await asyncio.sleep(max(0.0, (due_ms - timers.now_ms()) / 1000))
            _submit_claim(tasks[number % SHARDS], number, timers, latencies_ms)
        await asyncio.sleep(0.5)
    latencies_ms.sort()
    return objects.writes, request_count, latencies_ms[len(latencies_ms) // 2]


def _submit_claim(
    task: ShardTask, number: int, timers: TimerService, latencies_ms: list[float]
) -> None:
    submitted_ms = timers.now_ms()
    attempt = ClaimAttempt(f"key-{number}", f"holder-{number}", "digest")

    def on_decision(decision: ClaimDecision) -> None:
        latencies_ms.append(timers.now_ms() - submitted_ms)
        task.report(ClaimReport(attempt.key, attempt.holder, True))

    task.submit(PendingClaim(attempt, submitted_ms + CLAIM_TIMEOUT_MS, on_decision))
