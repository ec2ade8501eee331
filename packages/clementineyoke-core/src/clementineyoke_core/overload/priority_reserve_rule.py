"""Rule that keeps slots of a runner free for calls of more urgent ranks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.overload.admission_level import ramp

if TYPE_CHECKING:
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.overload.pressure_meter import PressureReading
    from clementineyoke_core.overload.priority_ranks import PriorityRanks
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_core.slot_ledger import SlotLedger

MAX_RESERVE_SHARE = 0.5
"""Largest reserve, as a share of the runner's slots."""
RESERVE_START = 0.8
"""Occupancy of the runner from which less urgent ranks leave a reserve. With 24 slots
and three ranks, the least urgent stops at 21 calls and the next at 23."""
RESERVE_RANGE = 0.2
"""Increase of the occupancy over which the reserve reaches its maximum."""
POOL_START = 1.0
POOL_FULL = 2.0
POOL_SHIFT = 0.1
"""Decrease of ``RESERVE_START`` while the pool's pressure is at ``POOL_FULL``. It is
small because refused calls queue and so raise the pressure: a reserve that grew with
the pressure alone would keep free slots idle."""
URGENT_FULL_SHARE = 0.3
"""Share of failed urgent calls at which the reserve is at its maximum, whatever the
occupancy of the runner."""


class PoolPressure(Protocol):
    """Source of the pressure of pools."""

    def reading(self, pool: str) -> PressureReading:
        """Return the latest pressure of a pool."""


class PriorityReserveRule(BaseGrantRule):
    """Refuses slots to less urgent ranks on a busy runner.

    The most urgent rank is never refused. The bounds fall with the rank, so whenever a
    rank gets a slot, every more urgent one would get it too. The runner's own count
    alone makes the rule effective; the pool's pressure only strengthens it.
    """

    def __init__(
        self,
        *,
        ledger: SlotLedger,
        table: RunnerTable,
        ranks: PriorityRanks,
        pressure: PoolPressure,
        queue_share: float,
    ) -> None:
        """Create a rule.

        ``queue_share`` is the share of its slots that may queue in a runner.
        """
        self._ledger = ledger
        self._table = table
        self._ranks = ranks
        self._pressure = pressure
        self._queue_share = queue_share

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot above the bound of the call's rank."""
        entry = self._table.get(request.runner_id)
        if entry is None or not request.profile.is_described:
            return None
        pool, slots = entry.runner.pool, entry.runner.slots
        rank = self._ranks.rank(pool, request.profile.priority)
        if rank == 0:
            return None
        bound = compute_rank_bound(
            slots=slots,
            rank_share=rank / (self._ranks.count(pool) - 1),
            queue_share=self._queue_share,
            severity=self._severity(request.runner_id, pool, slots),
        )
        if self._ledger.has_room(request.runner_id, request.holder, bound=bound):
            return None
        return RefusalReason.PRIORITY

    def record_request(self, request: GrantRequest) -> None:
        """Count the call, as the priorities in use have ranks."""
        entry = self._table.get(request.runner_id)
        if entry is not None and request.profile.is_described:
            self._ranks.record_call(
                entry.runner.pool, request.profile.priority, now_ms=request.now_ms
            )

    def _severity(self, runner_id: str, pool: str, slots: int) -> float:
        reading = self._pressure.reading(pool)
        shift = POOL_SHIFT * ramp(reading.pressure, POOL_START, POOL_FULL)
        start = RESERVE_START - shift
        occupancy = self._ledger.in_use(runner_id) / max(1, slots)
        return max(
            ramp(occupancy, start, start + RESERVE_RANGE),
            min(1.0, reading.urgent_share / URGENT_FULL_SHARE),
        )


def compute_rank_bound(
    *, slots: int, rank_share: float, queue_share: float, severity: float
) -> int:
    """Return how many calls a runner may hold when it gets one of a rank.

    ``rank_share`` is 0 for the most urgent rank and 1 for the least urgent one.
    ``severity`` is 0 without a reserve and 1 with the largest one. While it grows, the
    bound falls from the rank's share of the queue in the runner to the slots that the
    largest reserve leaves.
    """
    relaxed = slots * (1.0 + queue_share * (1.0 - rank_share))
    reserve = math.floor(MAX_RESERVE_SHARE * slots * rank_share)
    return math.floor(relaxed - severity * (relaxed - (slots - reserve)))
