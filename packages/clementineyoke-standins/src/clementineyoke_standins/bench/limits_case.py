"""Measures how accurately several nodes enforce a team's rate limit."""

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
ONE_WAY_DELAY_MS = 1.0
BASE_RATE_PER_S = 50.0
SURGE_RATE_PER_S = 1_000.0
SURGE_AT_S = 20.0
DURATION_S = 40.0
WINDOW_S = 10.0


class PendingGrant(NamedTuple):
    """Tokens in transit to a node, where a request waits for them."""

    at_ms: float
    node: int
    tokens: float


def measure_limits(bounds: dict[str, float], *, seed: int) -> list[BenchCase]:
    """Return the relative error of the admitted rate, steadily and in a surge."""
    allowed_s = _simulate(Random(seed))
    steady_s = SURGE_AT_S + WINDOW_S
    steady = _count_between(allowed_s, steady_s, steady_s + WINDOW_S) / (
        RATE_PER_S * WINDOW_S
    )
    surge = _count_between(allowed_s, SURGE_AT_S, SURGE_AT_S + WINDOW_S)
    possible = RATE_PER_S * WINDOW_S + BURST
    errors = (
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
        for name, error in errors
    ]


def _simulate(rng: Random) -> list[float]:
    budget = TeamBudget(rate_per_s=RATE_PER_S, burst=BURST, now_ms=0.0)
    team_shares = [TeamBudgetShare() for _ in range(NODES)]
    pending: list[PendingGrant] = []
    allowed_s: list[float] = []
    now_s = 0.0
    while now_s < DURATION_S:
        rate = BASE_RATE_PER_S if now_s < SURGE_AT_S else SURGE_RATE_PER_S
        now_s += rng.expovariate(rate)
        while pending and pending[0].at_ms <= now_s * 1000:
            _deliver_grant(heapq.heappop(pending), team_shares, allowed_s)
        node = rng.randrange(NODES)
        now_ms = now_s * 1000
        if team_shares[node].try_spend(now_ms=now_ms):
            allowed_s.append(now_s)
            continue
        tokens = team_shares[node].tokens_to_request(now_ms=now_ms)
        grant = budget.grant(tokens, now_ms=now_ms + ONE_WAY_DELAY_MS)
        pending_grant = PendingGrant(now_ms + 2 * ONE_WAY_DELAY_MS, node, grant.tokens)
        heapq.heappush(pending, pending_grant)
    return allowed_s


def _deliver_grant(
    grant: PendingGrant,
    team_shares: list[TeamBudgetShare],
    allowed_s: list[float],
) -> None:
    team_shares[grant.node].add_tokens(grant.tokens, now_ms=grant.at_ms)
    if team_shares[grant.node].try_spend(now_ms=grant.at_ms):
        allowed_s.append(grant.at_ms / 1000)


def _count_between(allowed_s: list[float], since_s: float, until_s: float) -> int:
    return sum(1 for at_s in allowed_s if since_s <= at_s < until_s)
