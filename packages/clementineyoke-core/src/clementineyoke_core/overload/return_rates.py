"""Rate at which a pool frees capacity for the rejected calls of this node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.overload.grant_meter import grants_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.overload.grant_meter import GrantMeter

MAX_GOSSIP_AGE_MS = 2_000.0
"""Age of the last exchange from which the fleet's mean is no longer used: eight missed
rounds of gossip."""
MIN_RATE_PER_S = 0.05
"""A lower rate counts as unknown. It is what is left of a few grants after some
seconds, and says nothing about the capacity of a pool that nobody calls."""
MAX_GOSSIPED_POOLS = 16
"""Pools whose rate is gossiped: 2 KB/s of the 5 KB/s that control traffic may take. For
further pools, each node uses the rate of its own homes."""


class RateSource(Enum):
    """Where a rate comes from."""

    FLEET = "fleet"
    OWN_HOMES = "own_homes"
    UNKNOWN = "unknown"


class ReturnRate(NamedTuple):
    """Calls per second that a node may tell to return to a pool."""

    per_s: float
    age_ms: float
    """Time since the last exchange with a peer; 0 for a rate of this node alone."""
    source: RateSource


UNKNOWN_RATE = ReturnRate(0.0, 0.0, RateSource.UNKNOWN)


class FleetShare(NamedTuple):
    """The size of the fleet and the part of its calls that one node gets."""

    nodes: int
    """Nodes of the region, at least 1."""
    call_share: float
    """This node's share of the fleet's calls; 0 if unknown."""


class RunnerCount(NamedTuple):
    """Runners of a pool that accept calls."""

    total: int
    homed: int
    """Those of them whose home is this node."""


UNKNOWN_SHARE = FleetShare(1, 0.0)
NO_RUNNERS = RunnerCount(0, 0)


class ReturnRates:
    """Compute this node's share of the rate at which each pool frees capacity.

    Gossip averages the homes' grants per second and runner; times the pool's runners,
    that is the rate of the fleet. An average per node is less exact, because few nodes
    are home of a small pool's runners: with 5 homes among 400 nodes, some nodes' values
    were 3.6 times the true rate.

    The rate of the fleet is divided among the nodes by their shares of the callers'
    calls: callers connect to a few entry nodes, so that equal shares would leave most
    of the capacity to nodes that reject no calls.
    """

    def __init__(
        self,
        *,
        meter: GrantMeter,
        mean_load: MeanLoadEstimator,
        fleet_share: Callable[[], FleetShare],
    ) -> None:
        """Create the rates; ``fleet_share`` is called each time they are published."""
        self._meter = meter
        self._mean_load = mean_load
        self._fleet_share = fleet_share
        self._share = UNKNOWN_SHARE
        """Counting the nodes takes too long for each decision."""
        self._runners: dict[str, RunnerCount] = {}
        self._gossiped: frozenset[str] = frozenset()
        self._exchanged_ms: dict[str, float] = {}

    def set_runners(self, runners: dict[str, RunnerCount]) -> set[str]:
        """Set the runners of each pool; return the gossip keys of the pools' rates."""
        self._runners = runners
        gossiped = frozenset(sorted(runners)[:MAX_GOSSIPED_POOLS])
        for pool in self._gossiped - gossiped:
            self._mean_load.remove(grants_key(pool))
        self._gossiped = gossiped
        self._meter.retain(runners)
        self._exchanged_ms = {
            pool: at_ms
            for pool, at_ms in self._exchanged_ms.items()
            if pool in self._gossiped
        }
        return {grants_key(pool) for pool in self._gossiped}

    def publish(self, *, now_ms: float) -> None:
        """Put the rates of this node's homes into the next gossip."""
        self._share = self._fleet_share()
        for pool in self._gossiped:
            homed = self._runners[pool].homed
            per_s = self._meter.per_s(pool, now_ms=now_ms) if homed else 0.0
            self._mean_load.set_local(grants_key(pool), load=per_s, runners=homed)

    def record_exchange(self, pool: str, *, now_ms: float) -> None:
        """Record that a peer sent its value for a pool."""
        if pool in self._gossiped:
            self._exchanged_ms[pool] = now_ms

    def rate(self, pool: str, *, now_ms: float) -> ReturnRate:
        """Return the rate for this node's calls, with its age and source."""
        exchanged_ms = self._exchanged_ms.get(pool)
        if exchanged_ms is not None and now_ms - exchanged_ms <= MAX_GOSSIP_AGE_MS:
            nodes, call_share = self._share
            runners = self._runners.get(pool, NO_RUNNERS).total
            fleet_per_s = self._mean_load.mean(grants_key(pool)) * runners
            if fleet_per_s >= MIN_RATE_PER_S:
                share = min(1.0, call_share or 1.0 / nodes)
                age_ms = now_ms - exchanged_ms
                # The share of a node without calls decays to 0, and a schedule
                # cannot divide by a rate of 0 when a call arrives again.
                per_s = max(MIN_RATE_PER_S, fleet_per_s * share)
                return ReturnRate(per_s, age_ms, RateSource.FLEET)
        own_per_s = self._meter.per_s(pool, now_ms=now_ms)
        if own_per_s < MIN_RATE_PER_S:
            return UNKNOWN_RATE
        return ReturnRate(own_per_s, 0.0, RateSource.OWN_HOMES)
