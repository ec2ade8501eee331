"""Measures the effect of quarantine and of drain reports from runners.

Both come from "Why Kubernetes Serving Breaks Down for Real-Time AI", sections 1 and 2.
Other ideas from that paper are covered by test scenarios and not measured here.
"""

from __future__ import annotations

import heapq
from random import Random

from clementineyoke_core.chat_key import chat_key
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_standins.bench.bench_case import BenchCase

RUNNERS = 6
RATE_PER_S = 24.0
DURATION_S = 30.0
CONNECT_TIMEOUT_MS = 1_000.0
"""Delay until a call to a host that is down fails and the next runner is tried."""
PROBE_INTERVAL_MS = 250.0
HOST_LIST_LAG_MS = 5_000.0
"""How long the host list still shows a draining runner as live."""
POOL = "model"
REGION = "region"


class TableWithoutQuarantine(RunnerTable):
    """Runner table that ignores transport failures."""

    def record_transport_failure(self, runner_id: str, *, now_ms: float) -> None:
        """Ignore the failure."""


class TableWithoutDrainReports(RunnerTable):
    """Runner table that ignores drain reports from runners."""

    def record_draining(self, runner_id: str, *, now_ms: float) -> None:
        """Ignore the report."""


def measure_paper_ideas(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return the result with each feature; the baseline is the result without it."""
    delayed = "paper.quarantine.delayed_share"
    refused = "paper.own_word.refused_share"
    comparisons = (
        (
            delayed,
            "share of requests that waited for a dead runner",
            _simulate_dead_runner(RunnerTable(), seed),
            _simulate_dead_runner(TableWithoutQuarantine(), seed),
        ),
        (
            refused,
            "share of requests sent to a draining runner",
            _simulate_draining_runner(RunnerTable(), seed),
            _simulate_draining_runner(TableWithoutDrainReports(), seed),
        ),
    )
    scale = f"{RUNNERS} runners, {RATE_PER_S:g} requests a second, {DURATION_S:g} s"
    return [
        BenchCase(name, metric, share, baseline, bounds.get(name), False, seed, scale)
        for name, metric, share, baseline in comparisons
    ]


def _simulate_dead_runner(table: RunnerTable, seed: int) -> float:
    """Return the share of requests delayed by a dead runner that is listed as live."""
    rings, runners = _make_rings(table)
    dead = runners[0].runner_id
    failures: list[float] = []
    probes: list[float] = []
    next_probe_ms = 0.0
    arrivals = _make_arrivals(seed)
    delayed = 0
    for at_ms, key in arrivals:
        while next_probe_ms <= at_ms:
            if not probes and table.due_for_probe(now_ms=next_probe_ms):
                heapq.heappush(probes, next_probe_ms + CONNECT_TIMEOUT_MS)
            next_probe_ms += PROBE_INTERVAL_MS
        while probes and probes[0] <= at_ms:
            table.record_probe(dead, ready=False, now_ms=heapq.heappop(probes))
        while failures and failures[0] <= at_ms:
            table.quarantine(dead, now_ms=heapq.heappop(failures))
        if next(rings.order(POOL, key)) == dead:
            delayed += 1
            heapq.heappush(failures, at_ms + CONNECT_TIMEOUT_MS)
    return delayed / len(arrivals)


def _simulate_draining_runner(table: RunnerTable, seed: int) -> float:
    """Return the share of requests sent to a draining runner.

    It drains from the start, and the host list shows this only after its lag.
    """
    rings, runners = _make_rings(table)
    leaving = runners[0]
    arrivals = _make_arrivals(seed)
    refused = 0
    is_listed = False
    for at_ms, key in arrivals:
        if at_ms >= HOST_LIST_LAG_MS and not is_listed:
            is_listed = True
            table.apply_host_list(live=runners[1:], leaving=[leaving], now_ms=at_ms)
        if next(rings.order(POOL, key)) == leaving.runner_id:
            refused += 1
            table.record_draining(leaving.runner_id, now_ms=at_ms)
    return refused / len(arrivals)


def _make_rings(table: RunnerTable) -> tuple[PoolRings, list[Runner]]:
    runners = [
        Runner(f"engine-{n}", "", 1, "zone", REGION, RunnerKind.ENGINE, POOL, 32)
        for n in range(RUNNERS)
    ]
    table.apply_host_list(live=runners, leaving=[], now_ms=0.0)
    rings = PoolRings(table=table, region=REGION)
    rings.rebuild()
    return rings, runners


def _make_arrivals(seed: int) -> list[tuple[float, int]]:
    rng = Random(seed)
    arrivals: list[tuple[float, int]] = []
    at_ms = 0.0
    while at_ms < DURATION_S * 1000:
        at_ms += rng.expovariate(RATE_PER_S) * 1000
        chat = f"chat-{rng.randrange(200)}"
        key = chat_key(team="team", model=POOL, chat_id=chat, prompt="")
        arrivals.append((at_ms, key))
    return arrivals
