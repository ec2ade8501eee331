"""Records what the attempts of calls tell about their runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.response_times import AnswerKind
from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.platform.runner_codec import MIN_REDIRECT_STATUS

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.attempt_ledger import AttemptLedger
    from clementineyoke_core.edge.runner_health import RunnerHealth
    from clementineyoke_core.edge.runner_reach import RunnerReach
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.attempt import Attempt
    from clementineyoke_node.edge.attempt_error import AttemptError
    from clementineyoke_node.edge.call_log import CallLog
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.reach_monitor import ReachMonitor
    from clementineyoke_node.edge.retry_spender import RetrySpender
    from clementineyoke_node.edge.return_policy import ReturnPolicy
    from clementineyoke_node.edge.runner_response import CompleteResponse
    from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
    from clementineyoke_node.edge.token_accounting import TokenAccounting
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

MIN_ERROR_STATUS = 400
"""From this status on, the time of an answer says nothing about a route's work."""
REACHABLE_OUTCOMES = frozenset((AttemptOutcome.FAILED, AttemptOutcome.REFUSED))
"""Outcomes that show that the runner is reachable."""


class AttemptRecorder:
    """Tell all components that learn from attempts how one went."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        health: RunnerHealth,
        crash_tracker: CrashTracker,
        retries: RetrySpender,
        timers: TimerService,
        call_log: CallLog,
        token_accounting: TokenAccounting,
        compare_time: Callable[[AnswerKind, float], int],
        reach: RunnerReach,
        reach_monitor: ReachMonitor,
        fault_reports: FaultReports,
        streams: StreamRegistry,
        returns: ReturnPolicy,
    ) -> None:
        """Create a recorder; ``compare_time`` is described at ``Forwarder``."""
        self._broker = broker
        self._health = health
        self._crash_tracker = crash_tracker
        self._retries = retries
        self._timers = timers
        self._call_log = call_log
        self._token_accounting = token_accounting
        self._compare_time = compare_time
        self._reach = reach
        self._reach_monitor = reach_monitor
        self._fault_reports = fault_reports
        self._streams = streams
        self._returns = returns

    def record_route(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        lease: SlotLease,
    ) -> None:
        """Record to which runner a call goes."""
        self._call_log.record_route(
            admitted,
            lease,
            last_event=stream.last_event_id,
            attempt=len(ledger.tried) + 1,
            evacuated_zones=self._broker.evacuated_zones(),
            runners_age_ms=self._streams.runners_age_ms(),
        )

    def record_answer(
        self,
        admitted: AdmittedCall,
        attempt: Attempt,
        stream: CallerStream,
        response: CompleteResponse | None,
    ) -> None:
        """Record an answer that is returned to the caller."""
        lease = attempt.lease
        self._health.record_success(lease.runner, now_ms=self._timers.now_ms())
        if response is None:
            self._streams.record_complete(admitted)
            self._token_accounting.record_answer(
                admitted, events=stream.sent_event_count
            )
        self._broker.record_answer(
            lease,
            time_percent=self._measure_time(
                admitted, stream, response, started_ms=attempt.started_ms
            ),
        )
        if response is None or response.head.status < MIN_REDIRECT_STATUS:
            self._crash_tracker.record_answer(admitted, lease.runner)
        if response is None or response.head.status < MIN_ERROR_STATUS:
            self._returns.record_answer(admitted, granted_ms=attempt.started_ms)

    def record_failure(
        self,
        admitted: AdmittedCall,
        attempt: Attempt,
        stream: CallerStream,
        error: AttemptError,
    ) -> None:
        """Record an attempt that gave no response to return."""
        now_ms = self._timers.now_ms()
        lease, started_ms = attempt.lease, attempt.started_ms
        runner = lease.runner
        if error.outcome in REACHABLE_OUTCOMES:
            self._broker.record_answer(lease, is_rejected=error.is_rejection)
        elif error.outcome is AttemptOutcome.NOT_SENT:
            self._broker.record_unused(lease)
            if attempt.is_paid:
                self._retries.refund(admitted.pool)
        if runner.born_ms:
            on_end = self._streams.lifetimes.record_end
            self._fault_reports.check_end(runner, error, on_end=on_end)
        if admitted.deadline_ms > now_ms and error.is_runner_fault:
            # A failure after the call's deadline is no evidence against the runner: the
            # operator's timeout may be shorter than the work.
            if not self._reach_monitor.is_isolated(runner.pool):
                self._health.record_failure(
                    runner, outcome=error.outcome, now_ms=now_ms
                )
            if error.is_silence:
                self._reach_monitor.check(runner.pool)
            if error.outcome is AttemptOutcome.NOT_SENT:
                took_ms = now_ms - started_ms
                self._reach_monitor.record_unreachable(runner, took_ms=took_ms)
                self._fault_reports.record_unreachable(runner)
            elif error.is_connection_lost:
                self._crash_tracker.record_broken_call(
                    admitted, runner, sent_ms=started_ms
                )
        self._call_log.record_failure(
            admitted,
            lease,
            stream,
            error,
            started_ms=started_ms,
            reached_other_ms=self._reached_other_age_ms(runner),
        )

    def _measure_time(
        self,
        admitted: AdmittedCall,
        stream: CallerStream,
        response: CompleteResponse | None,
        *,
        started_ms: float,
    ) -> int:
        """Return the time of an answer in percent of the usual one, or 0 if unknown.

        Only successes count: a fast error says nothing about a runner's speed.
        """
        if response is None:
            time_ms = stream.pace.event_ms()
        elif response.head.status < MIN_REDIRECT_STATUS:
            time_ms = response.ended_ms - started_ms
        else:
            return 0
        kind = AnswerKind(admitted.pool, admitted.route.name, response is None)
        return self._compare_time(kind, time_ms) if time_ms > 0.0 else 0

    def _reached_other_age_ms(self, runner: Runner) -> int | None:
        """Return how long ago a connection to another runner of its pool was opened."""
        reached_ms = self._reach.reached_other_ms(runner)
        return None if reached_ms is None else round(self._timers.now_ms() - reached_ms)
