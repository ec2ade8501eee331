"""Finds a slot for an admitted call, and reports each search to the admission level."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.load_cap_share import load_cap_share
from clementineyoke_core.grants.call_profile import CallProfile
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.slots.slot_request import SlotRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.attempt_ledger import AttemptLedger
    from clementineyoke_core.grants.refusal_reason import RefusalReason
    from clementineyoke_node.edge.admission_control import AdmissionControl
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.return_policy import ReturnPolicy
    from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
    from clementineyoke_node.edge.token_accounting import TokenAccounting
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

RESUMPTION_QUEUE_MS = 1_500
"""Longest wait for a slot of a call that goes on with a stream: callers give up streams
after a gap of two seconds."""


class SlotFinder:
    """Ask the homes of a pool's runners for a slot for a call."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        admission: AdmissionControl,
        crash_tracker: CrashTracker,
        token_accounting: TokenAccounting,
        streams: StreamRegistry,
        returns: ReturnPolicy,
        timers: TimerService,
        random_key: Callable[[], int],
        cap_factor: float,
        describes_calls: Callable[[str], bool],
    ) -> None:
        """Create a finder; the last two are described at ``Forwarder``."""
        self._broker = broker
        self._admission = admission
        self._crash_tracker = crash_tracker
        self._token_accounting = token_accounting
        self._streams = streams
        self._returns = returns
        self._timers = timers
        self._random_key = random_key
        self._cap_factor = cap_factor
        self._describes_calls = describes_calls

    async def find(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        *,
        refusals: dict[str, RefusalReason],
        current_runner: str | None = None,
    ) -> SlotLease | None:
        """Return a lease on a runner that the call has not tried, or None.

        ``refusals`` receives why runners were refused. ``current_runner`` is the id of
        the runner that has the call now, if there is one.
        """
        key = self._crash_tracker.isolation_key(admitted)
        if key is None:
            key = admitted.prompt_key
        is_first = current_runner is None and not ledger.tried
        started_ms = self._timers.now_ms()
        has_events = stream.version is not None
        is_bound = has_events and self._streams.is_mixed(admitted.pool)
        slot_request = SlotRequest(
            pool=admitted.pool,
            key=self._random_key() if key is None else key,
            profile=self._profile(admitted, is_resumption=is_bound),
            wait_ms=self._queue_ms(admitted, is_first=is_first, has_events=has_events),
            load_factor=self._cap_factor * load_cap_share(admitted.prompt_tokens),
            tried=ledger.tried_and(current_runner),
            version=stream.version,
            refusals=refusals,
        )
        try:
            lease = await self._broker.acquire(slot_request)
        except asyncio.CancelledError:
            # The caller disconnected while it waited for a slot.
            if is_first:
                self._record_abandoned_search(admitted, started_ms=started_ms)
            raise
        if is_first:
            self._record_search(admitted, lease, started_ms=started_ms)
        if lease is not None:
            self._returns.record_slot(admitted, asked_ms=started_ms)
        return lease

    def _queue_ms(
        self, admitted: AdmittedCall, *, is_first: bool, has_events: bool
    ) -> int:
        """Return how long a call may queue for a slot.

        ``has_events`` is whether its caller has events of the stream already. If such a
        call is refused, they are lost.
        """
        queue_ms = self._returns.queue_ms(admitted, was_searched=not is_first)
        if not has_events:
            return queue_ms
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        return max(queue_ms, int(min(RESUMPTION_QUEUE_MS, max(0.0, left_ms))))

    def _profile(self, admitted: AdmittedCall, *, is_resumption: bool) -> CallProfile:
        """Return what the runner's home is told of a call."""
        team = hash_text(admitted.team or "")
        if not self._describes_calls(admitted.pool):
            return CallProfile(team, admitted.priority, is_resumption=is_resumption)
        return CallProfile(
            team,
            self._admission.asked_priority(admitted.pool, admitted.priority),
            max(1, round(admitted.route.objective_ms)),
            self._token_accounting.describe(admitted),
            is_resumption,
        )

    def _record_search(
        self, admitted: AdmittedCall, lease: SlotLease | None, *, started_ms: float
    ) -> None:
        now_ms = self._timers.now_ms()
        self._admission.record_search(
            admitted.pool,
            admitted.priority,
            is_granted=lease is not None,
            took_ms=now_ms - started_ms,
            objective_ms=admitted.route.objective_ms,
            now_ms=now_ms,
        )

    def _record_abandoned_search(
        self, admitted: AdmittedCall, *, started_ms: float
    ) -> None:
        now_ms = self._timers.now_ms()
        self._admission.record_abandoned_search(
            admitted.pool,
            admitted.priority,
            took_ms=now_ms - started_ms,
            objective_ms=admitted.route.objective_ms,
            now_ms=now_ms,
        )
