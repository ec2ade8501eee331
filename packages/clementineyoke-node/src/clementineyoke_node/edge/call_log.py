"""Records how a call was routed, how its attempts failed and how it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_node.edge.streams.stream_finder import describe_resumed
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.attempt_error import AttemptError
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.cut_cause import CutCause
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that a log line names; a caller may send hundreds."""


class CallLog:
    """Records the decisions on a call that the forwarder takes."""

    def __init__(
        self,
        *,
        decisions: DecisionRing,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        self._decisions = decisions
        self._timers = timers
        self._metrics = metrics

    def record_route(
        self,
        admitted: AdmittedCall,
        lease: SlotLease,
        *,
        last_event: int | None,
        attempt: int,
        evacuated_zones: Mapping[str, object],
        runners_age_ms: int,
    ) -> None:
        """Record to which runner a call goes, and why.

        ``runners_age_ms`` is the time since the list of runners was last confirmed.
        """
        self._decisions.record(
            Event.ROUTED,
            request_id=admitted.call.call_id,
            route=admitted.route.name,
            version=admitted.version,
            team=admitted.team,
            priority=admitted.priority,
            pool=admitted.pool,
            runner=lease.runner.runner_id,
            runner_version=lease.runner.version,
            runner_born_ms=lease.runner.born_ms,
            runners_age_ms=runners_age_ms,
            last_event=last_event,
            resumes=describe_resumed(admitted),
            reason=lease.reason,
            rank=lease.rank,
            attempt=attempt,
            passed_over=dict(lease.passed_over),
            forwarded_by=None if admitted.hop is None else admitted.hop.node_id,
            evacuated_zones=evacuated_zones,
        )

    def record_forward(
        self, admitted: AdmittedCall, peer_id: str, *, runners_used: int
    ) -> None:
        """Record that a call is forwarded to a peer."""
        self._decisions.record(
            Event.FORWARDED,
            request_id=admitted.call.call_id,
            pool=admitted.pool,
            peer=peer_id,
            runners_used=runners_used,
        )

    def record_forward_failure(
        self, admitted: AdmittedCall, error: AttemptError
    ) -> None:
        """Record that a peer did not serve a call."""
        self._decisions.record(
            Event.FORWARD_FAILED,
            request_id=admitted.call.call_id,
            peer=error.peer,
            step=error.step,
            end=error.outcome.value,
            reason=error.reason,
            after_ms=self._age_ms(admitted),
        )

    def record_failure(
        self,
        admitted: AdmittedCall,
        lease: SlotLease,
        stream: CallerStream,
        error: AttemptError,
        *,
        started_ms: float,
        reached_other_ms: int | None,
    ) -> None:
        """Record a failed attempt; ``started_ms`` is when the call was sent."""
        self._decisions.record(
            Event.RUNNER_FAILED,
            request_id=admitted.call.call_id,
            runner=error.peer,
            runner_version=lease.runner.version,
            step=error.step,
            end=error.outcome.value,
            reason=error.reason,
            kind=admitted.route.kind.value,
            request_digest=admitted.digest.hex(),
            prompt_parts=_describe_parts(admitted),
            is_connection_lost=error.is_connection_lost,
            on_runner_ms=round(self._timers.now_ms() - started_ms),
            after_ms=self._age_ms(admitted),
            reached_other_ms=reached_other_ms,
            last_event=stream.last_event_id,
            unwritten_events=stream.unwritten_event_count,
        )

    def record_kept(
        self, admitted: AdmittedCall, *, runner_id: str, dropped_id: str
    ) -> None:
        """Record that a silent runner went on; ``dropped_id`` is its successor."""
        self._decisions.record(
            Event.RUNNER_KEPT,
            request_id=admitted.call.call_id,
            runner=runner_id,
            dropped=dropped_id,
            after_ms=self._age_ms(admitted),
        )

    def record_answered(
        self,
        admitted: AdmittedCall,
        stream: CallerStream,
        *,
        status: int,
        ended_by: str,
    ) -> None:
        """Record that a call was answered; ``ended_by`` is what ended the answer."""
        self._decisions.record(
            Event.ANSWERED,
            request_id=admitted.call.call_id,
            status=status,
            ended_by=ended_by,
            events=stream.sent_event_count,
            last_event=stream.last_event_id,
            after_ms=self._age_ms(admitted),
        )

    def record_cut(
        self,
        admitted: AdmittedCall,
        stream: CallerStream,
        *,
        cause: CutCause,
        reason: str,
        runners_used: int,
    ) -> None:
        """Record that a stream was aborted after it had begun.

        ``reason`` is that of its last failure, ``cause`` why it could not go on.
        """
        self._metrics.answers_cut.inc({"pool": admitted.pool, "cause": cause.value})
        self._decisions.record(
            Event.ANSWER_CUT,
            request_id=admitted.call.call_id,
            cause=cause.value,
            reason=reason,
            events=stream.sent_event_count,
            silent_ms=round(self._timers.now_ms() - stream.active_ms),
            runners_used=runners_used,
            max_runners=admitted.route.max_runners,
            version=admitted.version,
            after_ms=self._age_ms(admitted),
        )

    def _age_ms(self, admitted: AdmittedCall) -> int:
        return round(self._timers.now_ms() - admitted.arrived_ms)


def describe_caller(admitted: AdmittedCall) -> dict[str, object]:
    """Return the fields of a rejected call's log line that tell who is affected."""
    return {
        "route": admitted.route.name,
        "team": admitted.team,
        "priority": admitted.priority,
    }


def _describe_parts(admitted: AdmittedCall) -> list[str]:
    """Return the ids of the parts of a prompt that others may share."""
    parts = admitted.call.prompt_parts[:-1]
    return [part.part_id for part in parts[:MAX_LOGGED_PARTS]]
