"""Admission by priority on one node: its ranks, pressures, levels and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from clementineyoke_core.overload.admission_level import AdmissionLevel
from clementineyoke_core.overload.pressure_meter import PressureMeter
from clementineyoke_core.overload.priority_ranks import PriorityRanks
from clementineyoke_core.overload.priority_reserve_rule import PriorityReserveRule
from clementineyoke_core.overload.served_shares import ServedShares
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.grants.grant_rule import GrantRule
    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.overload.pressure_meter import RunnerDemand
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_core.slot_ledger import SlotLedger
    from clementineyoke_node.metrics import Metrics

LOGGED_CHANGE = 0.5
"""Change of a level, in ranks, that is logged."""
ROUNDING_ERROR = 1e-6
"""Levels are sums of many small steps."""
LATE_SHARE = 0.5
"""Share of a call's objective from which a search for a slot counts as failed. Calls
that reached a runner later than that were answered late."""
SHORTAGE_PRESSURE = 1.0
"""Pressure from which a pool is short of capacity: its slots are all in use."""
LEVEL_REASON = "level"
NO_SLOT_REASON = "no_slot"


class PoolStatus(TypedDict):
    """Pressure and level of a pool as shown to operators."""

    pressure: float
    occupancy: float
    urgent_share: float
    level: float
    level_in_force: float
    max_level: int
    is_shared: bool
    """Whether the pressure is the fleet's, not that of this node's runners alone."""
    age_ms: int


class AdmissionControl:
    """Decide which calls this node rejects before it searches for a slot."""

    def __init__(
        self,
        *,
        ledger: SlotLedger,
        table: RunnerTable,
        mean_load: MeanLoadEstimator,
        metrics: Metrics,
        rng: Random,
        read_state: Callable[[], DesiredState | None],
        queue_share: float,
        is_enabled: bool = True,
    ) -> None:
        """Create the control; ``read_state`` returns the desired state in force.

        If it is not enabled, no pool has ranks, and it neither rejects nor measures.
        """
        self.is_enabled = is_enabled
        self._metrics = metrics
        self._rng = rng
        self._ranks = PriorityRanks(
            read_state=read_state if is_enabled else lambda: None
        )
        self._meter = PressureMeter(mean_load=mean_load)
        self._levels: dict[str, AdmissionLevel] = {}
        self._shares: dict[str, ServedShares] = {}
        self._logged_levels: dict[str, float] = {}
        self._was_shared = False
        rule = PriorityReserveRule(
            ledger=ledger,
            table=table,
            ranks=self._ranks,
            pressure=self._meter,
            queue_share=queue_share,
        )
        self.rules: tuple[GrantRule, ...] = (rule,) if is_enabled else ()

    def update_pools(self) -> bool:
        """Adopt the pools of the desired state; return whether they have changed."""
        pools = self._ranks.pools()
        for pool in pools:
            level = self._levels.setdefault(pool, AdmissionLevel(ranks=0))
            if level.max_value != self._ranks.count(pool) - 1:
                level.set_ranks(self._ranks.count(pool))
                self._shares[pool] = ServedShares()
        gone = self._levels.keys() - pools
        for pool in gone:
            del self._levels[pool], self._shares[pool]
            self._logged_levels.pop(pool, None)
            self._metrics.pool_pressure.set({"pool": pool}, 0.0)
            self._metrics.admission_level.set({"pool": pool}, 0.0)
        keys = self._meter.gossip_keys()
        self._meter.set_pools(pools)
        return keys != self._meter.gossip_keys()

    def gossip_keys(self) -> set[str]:
        """Return the keys of the pressures in gossip."""
        return self._meter.gossip_keys()

    def record_exchange(self, *, now_ms: float) -> None:
        """Record gossip from another node of the region."""
        self._meter.record_exchange(now_ms=now_ms)

    def update(self, demands: Iterable[RunnerDemand], *, now_ms: float) -> None:
        """Publish the demand for this node's runners, and move the levels."""
        self._meter.update(demands, now_ms=now_ms)
        self._log_source(now_ms)
        for pool, level in self._levels.items():
            reading = self._meter.reading(pool)
            level.update(reading.pressure, now_ms=now_ms)
            self._metrics.pool_pressure.set({"pool": pool}, reading.pressure)
            self._metrics.admission_level.set({"pool": pool}, level.in_force)
            self._log_level(pool, level.value, now_ms)

    def rejection_reason(
        self, pool: str, priority: int, *, now_ms: float
    ) -> str | None:
        """Return why a call is rejected, with the inputs; None if it is admitted."""
        level = self._levels.get(pool)
        if level is None:
            return None
        self._ranks.record_call(pool, priority, now_ms=now_ms)
        rank = self._ranks.rank(pool, priority)
        if level.admits(rank, draw=self._rng.random()):
            self._metrics.calls_admitted.inc({"pool": pool, "priority": str(priority)})
            return None
        self._count_rejection(pool, priority, LEVEL_REASON)
        self._shares[pool].record(rank, is_served=False, now_ms=now_ms)
        reading = self._meter.reading(pool)
        source = "the fleet" if reading.is_shared else "this node's runners"
        return (
            f"the admission level {level.in_force:.2f} of {level.max_value} rejects "
            f"calls of rank {rank} to {pool!r}: pressure {reading.pressure:.2f} of "
            f"{source} (occupancy {reading.occupancy:.2f}, urgent calls without a slot "
            f"{reading.urgent_share:.2f}), {self._age_ms(pool, now_ms)} ms old"
        )

    def asked_priority(self, pool: str, priority: int) -> int:
        """Return the priority with which a call asks for a slot.

        A call of a rank that starves asks like one of the most urgent rank.
        """
        if pool not in self._levels:
            return priority
        if not self._shares[pool].is_starving(self._ranks.rank(pool, priority)):
            return priority
        self._metrics.calls_promoted.inc({"pool": pool, "priority": str(priority)})
        return 0

    def is_short(self, pool: str) -> bool:
        """Return whether a pool has more calls than its runners can serve at once."""
        return self._meter.reading(pool).pressure >= SHORTAGE_PRESSURE

    def record_search(
        self,
        pool: str,
        priority: int,
        *,
        is_granted: bool,
        took_ms: float,
        objective_ms: float,
        now_ms: float,
    ) -> None:
        """Record how the search for a call's slot ended, and its duration."""
        if pool not in self._levels:
            return
        if not is_granted:
            self._count_rejection(pool, priority, NO_SLOT_REASON)
        is_served = is_granted and not _is_late(took_ms, objective_ms)
        self._count_search(pool, priority, is_served=is_served, now_ms=now_ms)

    def record_abandoned_search(
        self,
        pool: str,
        priority: int,
        *,
        took_ms: float,
        objective_ms: float,
        now_ms: float,
    ) -> None:
        """Record that a caller disconnected during the search, and its duration.

        The search counts as failed if it was late already. An earlier disconnect says
        nothing about the pool.
        """
        if pool in self._levels and _is_late(took_ms, objective_ms):
            self._count_search(pool, priority, is_served=False, now_ms=now_ms)

    def status(self, *, now_ms: float) -> dict[str, PoolStatus]:
        """Return the pressure and the level of each pool that has ranks."""
        return {
            pool: self._pool_status(pool, level, now_ms)
            for pool, level in sorted(self._levels.items())
        }

    def _pool_status(
        self, pool: str, level: AdmissionLevel, now_ms: float
    ) -> PoolStatus:
        reading = self._meter.reading(pool)
        return PoolStatus(
            pressure=round(reading.pressure, 3),
            occupancy=round(reading.occupancy, 3),
            urgent_share=round(reading.urgent_share, 3),
            level=round(level.value, 3),
            level_in_force=round(level.in_force, 3),
            max_level=level.max_value,
            is_shared=reading.is_shared,
            age_ms=self._age_ms(pool, now_ms),
        )

    def _age_ms(self, pool: str, now_ms: float) -> int:
        return round(self._meter.age_ms(pool, now_ms=now_ms))

    def _count_search(
        self, pool: str, priority: int, *, is_served: bool, now_ms: float
    ) -> None:
        rank = self._ranks.rank(pool, priority)
        self._shares[pool].record(rank, is_served=is_served, now_ms=now_ms)
        if rank == 0:
            self._meter.record_urgent_call(pool, is_failed=not is_served)

    def _count_rejection(self, pool: str, priority: int, reason: str) -> None:
        labels = {"pool": pool, "priority": str(priority), "reason": reason}
        self._metrics.calls_rejected.inc(labels)

    def _log_source(self, now_ms: float) -> None:
        is_shared = self._meter.is_shared(now_ms=now_ms)
        if self._was_shared != is_shared and self._levels:
            self._was_shared = is_shared
            event = Event.PRESSURE_SHARED if is_shared else Event.PRESSURE_LOCAL
            log_event(event, pools=sorted(self._levels))

    def _log_level(self, pool: str, value: float, now_ms: float) -> None:
        logged = self._logged_levels.get(pool, 0.0)
        change = abs(value - logged) + ROUNDING_ERROR
        if change < LOGGED_CHANGE and not (value == 0.0 < logged):
            return
        self._logged_levels[pool] = value
        log_event(
            Event.ADMISSION_LEVEL,
            pool=pool,
            admission_level=round(value, 2),
            before=round(logged, 2),
            age_ms=self._age_ms(pool, now_ms),
            **self._meter.reading(pool).log_fields(),
        )


def _is_late(took_ms: float, objective_ms: float) -> bool:
    return 0.0 < LATE_SHARE * objective_ms < took_ms
