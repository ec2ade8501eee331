"""Two ideas of the paper switched off and on: quarantine, and the runner's own word.

Source: "Why Kubernetes Serving Breaks Down for Real-Time AI", sections 1 and 2. Other
ideas of it that are in use are proved by scenarios, not measured here.
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
SECONDS = 30.0
CONNECT_TIMEOUT_MS = 1_000.0
"""What a call to a host that is gone costs before the next runner is tried."""
PROBE_EVERY_MS = 250.0
LIST_LAG_MS = 5_000.0
"""How long the host list still shows the runner live."""
POOL = "model"
REGION = "region"


class TableWithoutQuarantine(RunnerTable):
    """Take no note of transport failures."""

    def record_transport_failure(self, runner_id: str, *, now_ms: float) -> None:
        """Do nothing."""


class TableWithoutOwnWord(RunnerTable):
    """Take no note of what a runner says of itself."""

    def record_draining(self, runner_id: str, *, now_ms: float) -> None:
        """Do nothing."""


def measure_paper_ideas(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return each idea's figure, with the one without it as baseline."""
    delayed = "paper.quarantine.delayed_share"
    refused = "paper.own_word.refused_share"
    pairs = (
        (
            delayed,
            "share of requests that waited for a dead runner",
            _play_dead(RunnerTable(), seed),
            _play_dead(TableWithoutQuarantine(), seed),
        ),
        (
            refused,
            "share of requests sent to a draining runner",
            _play_draining(RunnerTable(), seed),
            _play_draining(TableWithoutOwnWord(), seed),
        ),
    )
    scale = f"{RUNNERS} runners, {RATE_PER_S:g} requests a second, {SECONDS:g} s"
    return [
        BenchCase(name, metric, on, off, bounds.get(name), False, seed, scale)
        for name, metric, on, off in pairs
    ]


def _play_dead(table: RunnerTable, seed: int) -> float:
    """Let one runner be gone for the whole run, while the list shows it live."""
    rings, runners = _make_rings(table)
    dead = runners[0].runner_id
    failures: list[float] = []
    probes: list[float] = []
    next_probe_ms = 0.0
    keys = _arrivals(seed)
    delayed = 0
    for at_ms, key in keys:
        while next_probe_ms <= at_ms:
            if not probes and table.due_for_probe(now_ms=next_probe_ms):
                heapq.heappush(probes, next_probe_ms + CONNECT_TIMEOUT_MS)
            next_probe_ms += PROBE_EVERY_MS
        while probes and probes[0] <= at_ms:
            table.record_probe(dead, ready=False, now_ms=heapq.heappop(probes))
        while failures and failures[0] <= at_ms:
            table.record_transport_failure(dead, now_ms=heapq.heappop(failures))
        if next(rings.order(POOL, key)) == dead:
            delayed += 1
            heapq.heappush(failures, at_ms + CONNECT_TIMEOUT_MS)
    return delayed / len(keys)


def _play_draining(table: RunnerTable, seed: int) -> float:
    """Let one runner drain from the start; the list says so only after its lag."""
    rings, runners = _make_rings(table)
    leaving = runners[0]
    keys = _arrivals(seed)
    refused = 0
    is_listed = False
    for at_ms, key in keys:
        if at_ms >= LIST_LAG_MS and not is_listed:
            is_listed = True
            table.apply_host_list(live=runners[1:], leaving=[leaving], now_ms=at_ms)
        if next(rings.order(POOL, key)) == leaving.runner_id:
            refused += 1
            table.record_draining(leaving.runner_id, now_ms=at_ms)
    return refused / len(keys)


def _make_rings(table: RunnerTable) -> tuple[PoolRings, list[Runner]]:
    runners = [
        Runner(f"engine-{n}", "", 1, "zone", REGION, RunnerKind.ENGINE, POOL, 32)
        for n in range(RUNNERS)
    ]
    table.apply_host_list(live=runners, leaving=[], now_ms=0.0)
    rings = PoolRings(table=table, region=REGION)
    rings.rebuild()
    return rings, runners


def _arrivals(seed: int) -> list[tuple[float, int]]:
    rng = Random(seed)
    arrivals: list[tuple[float, int]] = []
    at_ms = 0.0
    while at_ms < SECONDS * 1000:
        at_ms += rng.expovariate(RATE_PER_S) * 1000
        chat = f"chat-{rng.randrange(200)}"
        key = chat_key(team="team", model=POOL, chat_id=chat, prompt="")
        arrivals.append((at_ms, key))
    return arrivals
