"""How exactly several nodes keep one team's rate, steady and in a surge."""

from __future__ import annotations

import heapq
from random import Random
from typing import NamedTuple

from clementineyoke_core.team_budget import TeamBudget
from clementineyoke_core.team_budget_share import TeamBudgetShare
from clementineyoke_standins.bench.bench_case import BenchCase

NODES = 6
RATE_PER_S = 100.0
BURST = 200.0
ONE_WAY_MS = 1.0
QUIET_RATE_PER_S = 50.0
SURGE_RATE_PER_S = 1_000.0
SURGE_AT_S = 20.0
SECONDS = 40.0
WINDOW_S = 10.0


class Share(NamedTuple):
    """Tokens on their way to a node, for a request that waits for them."""

    at_ms: float
    node: int
    tokens: float


def measure_limits(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return by how much of the limit the fleet let through too much or too little."""
    allowed_s = _play(Random(seed))
    steady_s = SURGE_AT_S + WINDOW_S
    steady = _count(allowed_s, steady_s, steady_s + WINDOW_S) / (RATE_PER_S * WINDOW_S)
    surge = _count(allowed_s, SURGE_AT_S, SURGE_AT_S + WINDOW_S)
    possible = RATE_PER_S * WINDOW_S + BURST
    figures = (
        ("limits.steady_error", abs(steady - 1.0)),
        ("limits.surge_error", abs(surge / possible - 1.0)),
    )
    scale = f"{NODES} nodes, {RATE_PER_S:g}/s, offered {SURGE_RATE_PER_S:g}/s"
    return [
        BenchCase(
            name,
            "share of the limit",
            error,
            None,
            bounds.get(name),
            False,
            seed,
            scale,
        )
        for name, error in figures
    ]


def _play(rng: Random) -> list[float]:
    budget = TeamBudget(rate_per_s=RATE_PER_S, burst=BURST, now_ms=0.0)
    purses = [TeamBudgetShare() for _ in range(NODES)]
    shares: list[Share] = []
    allowed_s: list[float] = []
    at_s = 0.0
    while at_s < SECONDS:
        rate = QUIET_RATE_PER_S if at_s < SURGE_AT_S else SURGE_RATE_PER_S
        at_s += rng.expovariate(rate)
        while shares and shares[0].at_ms <= at_s * 1000:
            _receive(heapq.heappop(shares), purses, allowed_s)
        node = rng.randrange(NODES)
        now_ms = at_s * 1000
        if purses[node].try_spend(now_ms=now_ms):
            allowed_s.append(at_s)
            continue
        wanted = purses[node].tokens_to_request(now_ms=now_ms)
        grant = budget.grant(wanted, now_ms=now_ms + ONE_WAY_MS)
        share = Share(now_ms + 2 * ONE_WAY_MS, node, grant.tokens)
        heapq.heappush(shares, share)
    return allowed_s


def _receive(
    share: Share, purses: list[TeamBudgetShare], allowed_s: list[float]
) -> None:
    purses[share.node].add_tokens(share.tokens, now_ms=share.at_ms)
    if purses[share.node].try_spend(now_ms=share.at_ms):
        allowed_s.append(share.at_ms / 1000)


def _count(allowed_s: list[float], since_s: float, until_s: float) -> int:
    return sum(1 for at_s in allowed_s if since_s <= at_s < until_s)
