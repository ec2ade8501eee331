"""Rule that keeps brittle runners from rejecting more calls than they can take."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from clementineyoke_core.brittle_pools import BrittlePools
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_core.slot_ledger import SlotLedger

WINDOW_MS = 1_000.0
"""Time over which a runner counts its rejections."""
LINGER_MS = 1_000.0
"""How long a call that was abandoned may still occupy the runner."""
RECOVERY_MS = 1_000.0
"""Time in which a limit that was lowered by a rejection rises by one slot."""


class _RunnerState:
    """What this home knows of one runner."""

    def __init__(self, *, homed_ms: float) -> None:
        self.homed_ms = homed_ms
        """When this node became the runner's home."""
        self.at_risk_ms: deque[float] = deque()
        """Rejections, and grants that may end in one, within the window."""
        self.abandoned_ms: deque[float] = deque()
        self.rejected_ms = 0.0
        """Time of the last rejection; 0 if there was none."""
        self.limit = 0
        """Slots in use at that rejection."""

    def trim(self, now_ms: float) -> None:
        """Forget what is no longer within its window."""
        _trim(self.at_risk_ms, now_ms - WINDOW_MS)
        _trim(self.abandoned_ms, now_ms - LINGER_MS)

    def slot_limit(self, slots: int, now_ms: float) -> int:
        """Return how many calls the runner takes without making one wait."""
        if not self.rejected_ms:
            return slots
        recovered = int((now_ms - self.rejected_ms) / RECOVERY_MS)
        return min(slots, self.limit + recovered)


class BrittleRule(BaseGrantRule):
    """Lets no call wait at a brittle runner, and bounds the calls it may reject.

    A call is at risk after the runner has rejected one, and while this node does not
    know yet which calls run there: right after it became the runner's home. The runner
    takes so many of these in a second, whatever becomes of them.
    """

    def __init__(
        self,
        *,
        brittle_pools: BrittlePools,
        ledger: SlotLedger,
        table: RunnerTable,
        is_home: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Create the rule; ``is_home`` returns whether a runner's home is this node."""
        self._brittle_pools = brittle_pools
        self._ledger = ledger
        self._table = table
        self._is_home = is_home
        self._states: dict[str, _RunnerState] = {}

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot that could make the runner reject too many calls."""
        entry = self._table.get(request.runner_id)
        if entry is None:
            return None
        now_ms = request.now_ms
        max_rejections = self._brittle_pools.limit(entry.runner.pool, now_ms=now_ms)
        if max_rejections is None:
            return None
        if not self._is_home(request.runner_id):
            # Nodes ask the former home until they know the new one. It no longer counts
            # all calls on the runner, and neither does yet the new one.
            return RefusalReason.BRITTLE
        state = self._state(request.runner_id, now_ms)
        state.trim(now_ms)
        slots = entry.runner.slots if max_rejections else max(1, entry.runner.slots - 1)
        in_use = self._ledger.in_use(request.runner_id) + len(state.abandoned_ms)
        if in_use >= state.slot_limit(slots, now_ms):
            return RefusalReason.BRITTLE
        if self._is_at_risk(state, now_ms) and len(state.at_risk_ms) >= max_rejections:
            return RefusalReason.BRITTLE
        return None

    def record_request(self, request: GrantRequest) -> None:
        """Remember since when this node is asked for the runner."""
        if self._is_home(request.runner_id):
            self._state(request.runner_id, request.now_ms)

    def record_grant(self, request: GrantRequest) -> None:
        """Count a grant that may end in a rejection."""
        state = self._state(request.runner_id, request.now_ms)
        if self._is_at_risk(state, request.now_ms):
            state.at_risk_ms.append(request.now_ms)
            state.trim(request.now_ms)

    def record_rejection(self, runner_id: str, *, now_ms: float) -> None:
        """Record that the runner rejected a call, whose slot is released already."""
        state = self._state(runner_id, now_ms)
        state.at_risk_ms.append(now_ms)
        state.rejected_ms = now_ms
        state.limit = self._ledger.in_use(runner_id)
        state.trim(now_ms)

    def record_abandoned(self, runner_id: str, *, now_ms: float) -> None:
        """Record that a call was given up without an answer from the runner."""
        state = self._state(runner_id, now_ms)
        state.abandoned_ms.append(now_ms)
        state.trim(now_ms)

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner that restarted, left or moved."""
        self._states.pop(runner_id, None)

    def retain(self, runner_ids: Collection[str]) -> None:
        """Remove the state of all runners but those whose home is this node.

        A node that becomes their home again does not know the calls that run there.
        """
        for runner_id in self._states.keys() - set(runner_ids):
            del self._states[runner_id]

    def _state(self, runner_id: str, now_ms: float) -> _RunnerState:
        state = self._states.get(runner_id)
        if state is None:
            state = self._states[runner_id] = _RunnerState(homed_ms=now_ms)
        return state

    def _is_at_risk(self, state: _RunnerState, now_ms: float) -> bool:
        """Return whether the runner may reject the next call."""
        is_new_home = now_ms < state.homed_ms + WINDOW_MS
        has_rejected = bool(state.rejected_ms) and (
            now_ms < state.rejected_ms + WINDOW_MS
        )
        return is_new_home or has_rejected


def _trim(times_ms: deque[float], oldest_ms: float) -> None:
    while times_ms and times_ms[0] <= oldest_ms:
        times_ms.popleft()
