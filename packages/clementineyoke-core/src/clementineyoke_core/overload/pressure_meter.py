"""Measure of how far the demand for a pool exceeds its slots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.mean_load import MeanLoadEstimator

PRESSURE_KEY_PREFIX = "\0pressure:"
URGENT_KEY_PREFIX = "\0urgent:"
MAX_GOSSIP_AGE_MS = 2_000.0
"""Age from which the fleet's mean is not used. Gossip brings several exchanges a
second; without one for two seconds, the node is cut off."""
URGENT_DECAY_MS = 1_000.0
"""Time constant of the counts of urgent calls; an overload begins within a second."""
FLEET_PRIOR = 0.5
"""Urgent calls that each node adds to the fleet's as served. The share of failed calls
then returns to 0 when no urgent calls arrive."""
OWN_PRIOR = 4.0
"""The same for the share among this node's own calls, of which there are few: a single
failed call is no overload."""
URGENT_WEIGHT = 1.0
"""Weight of the share of failed urgent calls next to the occupancy."""
MAX_SHARED_POOLS = 8
"""Pools whose pressure is gossiped, the first ones by name. Two keys of a pool cost 256
bytes a second, of the 5 KB/s that control traffic may take. For further pools each node
uses the pressure of its own runners."""
MAX_PRESSURE = 4.0
"""Upper limit; quotients of nearly empty gossip shares may be arbitrarily large."""


class RunnerDemand(NamedTuple):
    """Demand for one runner that accepts calls, as counted by its home."""

    pool: str
    in_use: int
    queued: int
    slots: int


class PressureReading(NamedTuple):
    """Pressure of a pool, with its parts."""

    occupancy: float = 0.0
    """Calls in use and queued at homes, divided by slots."""
    urgent_share: float = 0.0
    """Share of the calls of the most urgent rank that got no slot in time."""
    is_shared: bool = False
    """Whether the occupancy is the fleet's mean, not that of this node's runners."""

    @property
    def pressure(self) -> float:
        """Return the pressure; 1 if the demand equals the slots."""
        return min(MAX_PRESSURE, self.occupancy + URGENT_WEIGHT * self.urgent_share)

    def log_fields(self) -> dict[str, float | bool]:
        """Return the rounded parts as fields of a log line."""
        return {
            "pressure": round(self.pressure, 2),
            "occupancy": round(self.occupancy, 2),
            "urgent_share": round(self.urgent_share, 2),
            "is_shared": self.is_shared,
        }


NO_PRESSURE = PressureReading()


class _UrgentCounts(NamedTuple):
    failed: float = 0.0
    served: float = 0.0

    @property
    def own_share(self) -> float:
        return self.failed / (self.failed + self.served + OWN_PRIOR)


class PressureMeter:
    """Contribute this node's runners and calls to the fleet's means, and read these."""

    def __init__(self, *, mean_load: MeanLoadEstimator) -> None:
        self._mean_load = mean_load
        self._pools: set[str] = set()
        self._shared_pools: set[str] = set()
        self._urgent: dict[str, _UrgentCounts] = {}
        self._readings: dict[str, PressureReading] = {}
        self._updated_ms: float | None = None
        self._exchanged_ms: float | None = None

    def set_pools(self, pools: set[str]) -> None:
        """Set the pools to measure; others contribute nothing from now on."""
        for pool in self._pools - pools:
            self._urgent.pop(pool, None)
            self._readings.pop(pool, None)
        shared = set(sorted(pools)[:MAX_SHARED_POOLS])
        for pool in self._shared_pools - shared:
            for key in _keys(pool):
                self._mean_load.remove(key)
        self._pools = set(pools)
        self._shared_pools = shared

    def gossip_keys(self) -> set[str]:
        """Return the keys of this meter's values in gossip."""
        return {key for pool in self._shared_pools for key in _keys(pool)}

    def record_exchange(self, *, now_ms: float) -> None:
        """Record that another node of the region has sent its shares."""
        self._exchanged_ms = now_ms

    def record_urgent_call(self, pool: str, *, is_failed: bool) -> None:
        """Count a call of the most urgent rank; failed if it got no slot in time."""
        if pool not in self._pools:
            return
        counts = self._urgent.get(pool, _UrgentCounts())
        self._urgent[pool] = _UrgentCounts(
            counts.failed + is_failed, counts.served + (not is_failed)
        )

    def is_shared(self, *, now_ms: float) -> bool:
        """Return whether the fleet's mean is recent enough to be used."""
        exchanged_ms = self._exchanged_ms
        return exchanged_ms is not None and now_ms - exchanged_ms < MAX_GOSSIP_AGE_MS

    def update(self, demands: Iterable[RunnerDemand], *, now_ms: float) -> None:
        """Publish the demand for this node's runners, and read all pressures."""
        self._decay(now_ms)
        totals = dict.fromkeys(self._pools, (0, 0))
        for demand in demands:
            if demand.pool in totals:
                calls, slots = totals[demand.pool]
                calls += demand.in_use + demand.queued
                totals[demand.pool] = (calls, slots + demand.slots)
        is_shared = self.is_shared(now_ms=now_ms)
        for pool, (calls, slots) in totals.items():
            if pool in self._shared_pools:
                self._publish(pool, calls=calls, slots=slots)
            own = _clamp(calls / slots if slots else 0.0)
            self._readings[pool] = self._read(pool, own, is_shared=is_shared)

    def reading(self, pool: str) -> PressureReading:
        """Return the pressure of a pool as of the last update."""
        return self._readings.get(pool, NO_PRESSURE)

    def age_ms(self, pool: str, *, now_ms: float) -> float:
        """Return the age of a reading's newest input.

        That is an exchange if the reading is shared, else this node's own counts.
        """
        if self.reading(pool).is_shared:
            return now_ms - (self._exchanged_ms or 0.0)
        return 0.0 if self._updated_ms is None else now_ms - self._updated_ms

    def _read(self, pool: str, own: float, *, is_shared: bool) -> PressureReading:
        own_urgent = self._urgent.get(pool, _UrgentCounts()).own_share
        pressure_key, urgent_key = _keys(pool)
        fleet = self._mean_load.mean(pressure_key)
        if not is_shared or pool not in self._shared_pools:
            return PressureReading(own, own_urgent)
        urgent = max(own_urgent, min(1.0, self._mean_load.mean(urgent_key)))
        if fleet <= 0.0:
            # The first exchange that has this pool is still to come, or there is no
            # occupancy: no runner has accepted calls yet, or none is in use. A lack of
            # reachable runners shows in the urgent calls alone.
            return PressureReading(own, urgent)
        return PressureReading(_clamp(fleet), urgent, True)

    def _publish(self, pool: str, *, calls: int, slots: int) -> None:
        pressure_key, urgent_key = _keys(pool)
        self._mean_load.set_local(pressure_key, load=calls, runners=slots)
        counts = self._urgent.get(pool, _UrgentCounts())
        total = counts.failed + counts.served + FLEET_PRIOR
        self._mean_load.set_local(urgent_key, load=counts.failed, runners=total)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = 0.0 if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        factor = math.exp(-max(0.0, elapsed_ms) / URGENT_DECAY_MS)
        for pool, counts in self._urgent.items():
            self._urgent[pool] = _UrgentCounts(
                counts.failed * factor, counts.served * factor
            )


def _keys(pool: str) -> tuple[str, str]:
    return PRESSURE_KEY_PREFIX + pool, URGENT_KEY_PREFIX + pool


def _clamp(pressure: float) -> float:
    return max(0.0, min(MAX_PRESSURE, pressure))
