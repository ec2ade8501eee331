"""Keeps a leaving node from taking calls that it would have to cut."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.leave_time import LeaveTime, Shortage
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.call_log import describe_caller

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp import web

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.timers.timer_service import TimerService

LEAVE_STEP = "leave"
"""Step of the error of a call that another node may serve, as this one ends too soon.
"""
ELSEWHERE_RETRY_MS = 100
"""Retry-After while other nodes serve."""
ALONE_RETRY_MS = 1_000
"""Retry-After while no other node serves: a new process takes seconds to start."""
MIN_ERROR_STATUS = 400
"""From this status on, the time of an answer says nothing about a route's work."""


class LeaveCheck:
    """Refuse, while the node leaves, what it cannot be expected to answer in time.

    A refused call was sent to no runner, so that its caller may send it to any node.
    Before the node leaves, only the times of answers are recorded.
    """

    def __init__(self, *, state: NodeState, timers: TimerService) -> None:
        self._membership = state.membership
        self._metrics = state.metrics
        self._timers = timers
        self._leave_time = LeaveTime()

    @property
    def is_leaving(self) -> bool:
        """Whether the node is leaving the fleet."""
        return self._membership.is_leaving

    def begin(self, *, end_ms: float) -> None:
        """Record the monotonic time at which the node cuts what is unanswered."""
        self._leave_time.begin_leaving(end_ms=end_ms)

    @contextmanager
    def track(self, admitted: AdmittedCall) -> Iterator[CallTracker]:
        """Record the time of a call; raises ``RequestError`` if too little is left."""
        shortage = self._shortage(admitted)
        if shortage is not None:
            self._count(shortage)
            raise self._refuse(admitted, shortage)
        tracker = CallTracker()
        now_ms = self._timers.now_ms()
        call_time = self._leave_time.begin_call(admitted.route.name, now_ms=now_ms)
        try:
            yield tracker
        finally:
            # The rest of a broken stream takes less time than a call of its route.
            is_whole_call = admitted.call.last_event is None
            call_time.end(
                is_answered=tracker.is_answered and is_whole_call,
                now_ms=self._timers.now_ms(),
            )

    def check_send(
        self, admitted: AdmittedCall, stream: CallerStream, *, peer: str
    ) -> None:
        """Raise ``AttemptError`` for a call that a runner would receive too late.

        Calls wait for slots, and return from runners that did not run them. A stream
        that has begun goes on: its caller keeps every event that still arrives.
        """
        shortage = None if stream.has_started else self._shortage(admitted)
        if shortage is None:
            return
        self._count(shortage)
        raise AttemptError(
            outcome=AttemptOutcome.NOT_SENT,
            step=LEAVE_STEP,
            peer=peer,
            reason=str(shortage),
            is_runner_fault=False,
            is_final=True,
        )

    def _shortage(self, admitted: AdmittedCall) -> Shortage | None:
        return self._leave_time.shortage(
            admitted.route.name,
            deadline_ms=admitted.deadline_ms,
            now_ms=self._timers.now_ms(),
        )

    def _count(self, shortage: Shortage) -> None:
        basis = "answers" if shortage.is_known else "deadline"
        self._metrics.calls_too_late.inc({"basis": basis})

    def _refuse(self, admitted: AdmittedCall, shortage: Shortage) -> RequestError:
        region = self._membership.local_node.region
        others = set(self._membership.confirmed_alive(region=region))
        others.discard(self._membership.local_node)
        return RequestError(
            status=503,
            outcome=Outcome.NOT_RUN,
            step=LEAVE_STEP,
            reason=str(shortage),
            retry_after_ms=ELSEWHERE_RETRY_MS if others else ALONE_RETRY_MS,
            details={"other_nodes": len(others), **describe_caller(admitted)},
        )


class CallTracker:
    """Whether a call has a whole answer."""

    def __init__(self) -> None:
        self.is_answered = False

    def record(self, request: web.Request, response: web.StreamResponse) -> None:
        """Record the response with which a call ended, unless it was broken off."""
        transport = request.transport
        is_open = transport is not None and not transport.is_closing()
        self.is_answered = is_open and response.status < MIN_ERROR_STATUS
