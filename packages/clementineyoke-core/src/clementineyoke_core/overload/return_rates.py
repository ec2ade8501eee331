"""Rate at which a pool frees capacity for the rejected calls of this node."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.overload.grant_meter import grants_key

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

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
    """Nodes whose values are averaged, at least 1."""
    call_share: float
    """This node's share of the fleet's calls; 0 if unknown."""


UNKNOWN_SHARE = FleetShare(1, 0.0)


class ReturnRates:
    """Compute this node's share of the rate at which each pool frees capacity.

    The homes' grants per second are averaged over the nodes by gossip. The sum over
    the fleet is divided among the nodes by their shares of the callers' calls: callers
    connect to a few entry nodes, so that equal shares would leave most of the capacity
    to nodes that reject no calls.
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
        self._pools: frozenset[str] = frozenset()
        self._exchanged_ms: dict[str, float] = {}

    def set_pools(self, pools: Collection[str]) -> set[str]:
        """Set the known pools; return the gossip keys of their rates."""
        self._pools = frozenset(sorted(pools)[:MAX_GOSSIPED_POOLS])
        self._meter.retain(pools)
        self._exchanged_ms = {
            pool: at_ms
            for pool, at_ms in self._exchanged_ms.items()
            if pool in self._pools
        }
        return {grants_key(pool) for pool in self._pools}

    def publish(self, *, now_ms: float) -> None:
        """Put the rates of this node's homes into the next gossip.

        A node that is home of no runner contributes 0, as the sum is the mean times
        the number of nodes.
        """
        self._share = self._fleet_share()
        for pool in self._pools:
            per_s = self._meter.per_s(pool, now_ms=now_ms)
            self._mean_load.set_local(grants_key(pool), load=per_s, runners=1)

    def record_exchange(self, pool: str, *, now_ms: float) -> None:
        """Record that a peer sent its value for a pool."""
        if pool in self._pools:
            self._exchanged_ms[pool] = now_ms

    def rate(self, pool: str, *, now_ms: float) -> ReturnRate:
        """Return the rate for this node's calls, with its age and source."""
        exchanged_ms = self._exchanged_ms.get(pool)
        if exchanged_ms is not None and now_ms - exchanged_ms <= MAX_GOSSIP_AGE_MS:
            nodes, call_share = self._share
            fleet_per_s = self._mean_load.mean(grants_key(pool)) * nodes
            if fleet_per_s >= MIN_RATE_PER_S:
                share = min(1.0, call_share or 1.0 / nodes)
                age_ms = now_ms - exchanged_ms
                return ReturnRate(fleet_per_s * share, age_ms, RateSource.FLEET)
        own_per_s = self._meter.per_s(pool, now_ms=now_ms)
        if own_per_s < MIN_RATE_PER_S:
            return UNKNOWN_RATE
        return ReturnRate(own_per_s, 0.0, RateSource.OWN_HOMES)
