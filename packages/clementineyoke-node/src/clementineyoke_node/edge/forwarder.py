"""Forwards an admitted call to runners until one answers or no retry is possible."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptLedger, AttemptOutcome
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.attempt import Attempt, PeerAttempt
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.attempt_recorder import AttemptRecorder
from clementineyoke_node.edge.call_log import CallLog, describe_caller
from clementineyoke_node.edge.caller_stream import CallerStream
from clementineyoke_node.edge.cut_cause import CutCause
from clementineyoke_node.edge.failover import FailoverService
from clementineyoke_node.edge.failure_texts import describe_failure
from clementineyoke_node.edge.held_response import make_response
from clementineyoke_node.edge.retry_spender import RetrySpender
from clementineyoke_node.edge.return_policy import FixedReturns
from clementineyoke_node.edge.slot_finder import SlotFinder

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from clementineyoke_core.capacity.response_times import AnswerKind
    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.retry_window import RetryWindow
    from clementineyoke_core.edge.runner_health import RunnerHealth
    from clementineyoke_core.edge.runner_reach import RunnerReach
    from clementineyoke_core.grants.refusal_reason import RefusalReason
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.admission_control import AdmissionControl
    from clementineyoke_node.edge.attempt_executor import AttemptExecutor
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.failover import Failover
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.peer_relay import PeerRelay
    from clementineyoke_node.edge.reach_monitor import ReachMonitor
    from clementineyoke_node.edge.return_policy import ReturnPolicy
    from clementineyoke_node.edge.runner_response import CompleteResponse
    from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
    from clementineyoke_node.edge.token_accounting import TokenAccounting
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

NO_RUNNER_RETRY_MS = 1_000
"""Retry-After of a call whose pool has no runner that accepts calls: the runners of an
evacuated zone, or new ones, take seconds to arrive."""
RETRY_JITTER_MS = 400
"""Range of the random delay added to the Retry-After of calls that were refused while
all runners of a pool are in backoff: callers that return all at once would be refused
again."""
FAILED_RETRY_MS = 200
REACH_STEP = "reach_runner"
"""Step of the error of a call that neither this node nor a peer can send to a runner.
"""


class Forwarder:
    """Chooses the runner for each attempt of a call and decides on retries."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        attempt_executor: AttemptExecutor,
        health: RunnerHealth,
        crash_tracker: CrashTracker,
        retry_window: RetryWindow,
        timers: TimerService,
        decisions: DecisionRing,
        metrics: Metrics,
        count_nodes: Callable[[], int],
        random_key: Callable[[], int],
        cap_factor: float,
        admission: AdmissionControl,
        token_accounting: TokenAccounting,
        describes_calls: Callable[[str], bool] = lambda _: False,
        compare_time: Callable[[AnswerKind, float], int] = lambda _, __: 0,
        reach: RunnerReach,
        reach_monitor: ReachMonitor,
        peer_relay: PeerRelay,
        fault_reports: FaultReports,
        streams: StreamRegistry,
        returns: ReturnPolicy | None = None,
    ) -> None:
        """Create a forwarder.

        ``cap_factor`` is the operator's limit on a runner's load, as a multiple of the
        mean load. ``count_nodes`` returns the number of nodes that share the retry
        budget of a pool. ``describes_calls`` returns whether the homes of a pool's
        runners need the objective and the size of calls. ``admission`` rejects calls by
        their priority before any search. ``compare_time`` returns the time of an
        answer, in ms, as percent of the usual one, or 0 if unknown. ``returns`` decides
        when rejected calls return.
        """
        self._broker = broker
        self._attempt_executor = attempt_executor
        self._crash_tracker = crash_tracker
        self._timers = timers
        self._call_log = CallLog(decisions=decisions, timers=timers, metrics=metrics)
        self._random_key = random_key
        self._admission = admission
        self._token_accounting = token_accounting
        self._reach_monitor = reach_monitor
        self._peer_relay = peer_relay
        self._streams = streams
        self._returns = returns or FixedReturns(timers=timers)
        self._retries = RetrySpender(
            window=retry_window, count_nodes=count_nodes, timers=timers
        )
        self._slots = SlotFinder(
            broker=broker,
            admission=admission,
            crash_tracker=crash_tracker,
            token_accounting=token_accounting,
            streams=streams,
            returns=self._returns,
            timers=timers,
            random_key=lambda: self._random_key(),
            cap_factor=cap_factor,
            describes_calls=describes_calls,
        )
        self._recorder = AttemptRecorder(
            broker=broker,
            health=health,
            crash_tracker=crash_tracker,
            retries=self._retries,
            timers=timers,
            call_log=self._call_log,
            token_accounting=token_accounting,
            compare_time=compare_time,
            reach=reach,
            reach_monitor=reach_monitor,
            fault_reports=fault_reports,
            streams=streams,
            returns=self._returns,
        )
        self._failovers = FailoverService(
            broker=broker,
            slots=self._slots,
            retries=self._retries,
            admission=admission,
            crash_tracker=crash_tracker,
            reach_monitor=reach_monitor,
            peer_relay=peer_relay,
            timers=timers,
            call_log=self._call_log,
            start_attempt=attempt_executor.open,
            recorder=self._recorder,
        )

    async def forward(
        self, request: web.Request, admitted: AdmittedCall
    ) -> web.StreamResponse:
        """Return the response to a call.

        Raises ``RequestError`` when no runner gave a response that can be returned.
        """
        await self._crash_tracker.check(admitted)
        self._check_level(admitted)
        self._token_accounting.check_size(admitted)
        if admitted.hop is None:
            # The node that forwarded a call has counted it.
            self._retries.record_call(admitted.pool)
        stream = CallerStream(request=request, last_event_id=admitted.call.last_event)
        admitted = await self._resume_stream(admitted, stream)
        self._returns.check_time_left(
            admitted,
            not_run_retry_ms=lambda call: self._not_run_retry_ms(call, stream),
        )
        ledger = AttemptLedger(
            may_repeat=admitted.route.may_repeat,
            max_runners=admitted.route.max_runners,
            runners_used=0 if admitted.hop is None else admitted.hop.runners_used,
        )
        async with self._failovers.begin(request, admitted, ledger, stream) as failover:
            return await self._run_attempts(request, admitted, ledger, stream, failover)

    async def _run_attempts(
        self,
        request: web.Request,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        failover: Failover,
    ) -> web.StreamResponse:
        attempt: Attempt | None = None
        is_paid = False
        while True:
            if attempt is None:
                if self._reach_monitor.is_isolated(admitted.pool):
                    return await self._forward_to_peer(
                        request, admitted, ledger, stream
                    )
                lease = await self._acquire_slot(admitted, ledger, stream)
                if lease is None:
                    reason, cause = "no runner has a free slot", CutCause.NO_SLOT
                    return self._abort_stream(
                        admitted, ledger, stream, cause=cause, reason=reason
                    )
                if self._is_refused(admitted, ledger, lease, stream):
                    reason = "runners end under such calls"
                    cause = CutCause.CRASHES_RUNNERS
                    return self._abort_stream(
                        admitted, ledger, stream, cause=cause, reason=reason
                    )
                attempt = self._start_attempt(
                    admitted, lease, stream, failover, is_paid=is_paid
                )
            failover.current_runner = attempt.lease.runner.runner_id
            with self._broker.holding(attempt.lease):
                try:
                    response = await self._attempt_executor.execute(
                        admitted, attempt, stream, failover
                    )
                except AttemptError as error:
                    ledger.record(error.peer, error.outcome)
                    self._recorder.record_failure(admitted, attempt, stream, error)
                    failure = error
                else:
                    self._recorder.record_answer(admitted, attempt, stream, response)
                    return self._complete(admitted, stream, response)
            successor = await failover.take()
            if isinstance(successor, PeerAttempt):
                return await self._finish_at_peer(admitted, ledger, stream, successor)
            attempt = successor
            if attempt is not None:
                continue
            denial = self._check_retry(admitted, ledger, failure)
            if denial is not None:
                return self._fail(admitted, ledger, stream, failure, denial)
            is_paid = ledger.sends > 0
            if failure.is_silence:
                await self._reach_monitor.settle(admitted.pool)

    async def _forward_to_peer(
        self,
        request: web.Request,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
    ) -> web.StreamResponse:
        """Return the response that a peer got from a runner.

        Raises ``RequestError`` if no peer in touch with the pool takes the call. A peer
        that cannot reach the pool either says that the call did not run, so that it may
        go to the next one. A call that was forwarded to this node goes to none.
        """
        peers = self._peer_relay.choose_peers(admitted.pool)
        for peer in peers if admitted.hop is None else ():
            self._call_log.record_forward(
                admitted, peer.node_id, runners_used=ledger.sends
            )
            try:
                response = await self._peer_relay.execute(
                    request, admitted, peer, stream, runners_used=ledger.sends
                )
            except AttemptError as error:
                self._call_log.record_forward_failure(admitted, error)
                if error.outcome is AttemptOutcome.LOST:
                    ledger.record(error.peer, error.outcome)
                    cause = CutCause.PEER_FAILED
                    return self._fail(admitted, ledger, stream, error, cause)
                continue
            return self._complete_from_peer(admitted, ledger, stream, response)
        if stream.has_started:
            reason, cause = "no peer resumes it", CutCause.NO_PEER
            return self._abort_stream(
                admitted, ledger, stream, cause=cause, reason=reason
            )
        raise RequestError(
            status=502 if ledger.may_have_run else 503,
            outcome=Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN,
            step=REACH_STEP,
            reason=f"this node reaches no runner of {admitted.pool!r}",
            retry_after_ms=NO_RUNNER_RETRY_MS + self._random_key() % RETRY_JITTER_MS,
            details={"peers": [peer.node_id for peer in peers]},
        )

    async def _finish_at_peer(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        attempt: PeerAttempt,
    ) -> web.StreamResponse:
        """Return the rest of a response that has begun at a peer."""
        try:
            async with attempt.opening as opened:
                response = await self._peer_relay.receive(
                    admitted, attempt.peer, stream, opened
                )
        except AttemptError as error:
            self._call_log.record_forward_failure(admitted, error)
            ledger.record(error.peer, error.outcome)
            cause = CutCause.PEER_FAILED
            return self._fail(admitted, ledger, stream, error, cause)
        return self._complete_from_peer(admitted, ledger, stream, response)

    def _complete_from_peer(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        response: CompleteResponse | None,
    ) -> web.StreamResponse:
        if response is None or response.is_relayed or not stream.has_started:
            return self._complete(admitted, stream, response)
        reason = f"a peer answered {response.head.status} to its resumption"
        cause = CutCause.PEER_FAILED
        return self._abort_stream(admitted, ledger, stream, cause=cause, reason=reason)

    async def _resume_stream(
        self, admitted: AdmittedCall, stream: CallerStream
    ) -> AdmittedCall:
        """Restrict a call that resumes a stream to the pool and version that began it.

        Raises ``RequestError`` if these are unknown.
        """
        if admitted.hop is not None and admitted.hop.stream_version is not None:
            stream.version = admitted.hop.stream_version
            return admitted
        resumed = await self._streams.find(admitted)
        if resumed is None:
            return admitted
        stream.version = resumed.version
        return admitted._replace(pool=resumed.pool)

    async def _acquire_slot(
        self, admitted: AdmittedCall, ledger: AttemptLedger, stream: CallerStream
    ) -> SlotLease | None:
        """Return a lease, or None if there is none for a stream that has started.

        Raises ``RequestError`` if there is none for any other call.
        """
        started_ms = self._timers.now_ms()
        refusals: dict[str, RefusalReason] = {}
        lease = await self._slots.find(admitted, ledger, stream, refusals=refusals)
        if lease is not None:
            self._recorder.record_route(admitted, ledger, stream, lease)
            return lease
        if stream.has_started:
            return None
        has_runner = self._broker.has_available_runner(
            admitted.pool, version=stream.version
        )
        runners = _describe_runners(admitted.pool, stream.version)
        raise RequestError(
            status=502 if ledger.may_have_run else 503,
            outcome=Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN,
            step="acquire_slot",
            reason=(
                f"no runner of {runners} has a free slot under its bound"
                if has_runner
                else f"no runner of {runners} takes calls"
            ),
            retry_after_ms=self._not_run_retry_ms(admitted, stream),
            details={
                "refusals": Counter(reason.label for reason in refusals.values()),
                "refusals_age_ms": round(self._timers.now_ms() - started_ms),
                **self._token_accounting.describe_refusal(admitted),
                **self._returns.describe(admitted.pool),
                **describe_caller(admitted),
            },
        )

    def _is_refused(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        lease: SlotLease,
        stream: CallerStream,
    ) -> bool:
        """Return whether a call was found to crash runners while it waited for a slot.

        Raises ``RequestError`` for such a call if its stream has not started.
        """
        refusal = self._crash_tracker.refusal(admitted)
        if refusal is None:
            return False
        self._broker.record_unused(lease)
        if not stream.has_started:
            raise self._crash_tracker.refuse(
                admitted, refusal, may_have_run=ledger.may_have_run
            )
        return True

    def _check_level(self, admitted: AdmittedCall) -> None:
        """Raise ``RequestError`` if the pool's admission level rejects a call."""
        reason = self._admission.rejection_reason(
            admitted.pool, admitted.priority, now_ms=self._timers.now_ms()
        )
        if reason is not None:
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step="admission",
                reason=reason,
                retry_after_ms=self._not_run_retry_ms(admitted),
                details=self._returns.describe(admitted.pool)
                | describe_caller(admitted),
            )

    def _not_run_retry_ms(
        self, admitted: AdmittedCall, stream: CallerStream | None = None
    ) -> int:
        """Return the Retry-After, in milliseconds, of a call that did not run."""
        pool = admitted.pool
        version = None if stream is None else stream.version
        if self._broker.has_available_runner(pool, version=version):
            return self._returns.retry_after_ms(admitted)
        backoff_ms = self._broker.backoff_remaining_ms(
            pool, now_ms=self._timers.now_ms()
        )
        if not backoff_ms:
            return NO_RUNNER_RETRY_MS
        return math.ceil(backoff_ms) + self._random_key() % RETRY_JITTER_MS

    def _start_attempt(
        self,
        admitted: AdmittedCall,
        lease: SlotLease,
        stream: CallerStream,
        failover: Failover,
        *,
        is_paid: bool,
    ) -> Attempt:
        return Attempt(
            lease,
            self._timers.now_ms(),
            self._attempt_executor.open(admitted, lease, stream, failover),
            is_paid,
        )

    def _check_retry(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        failure: AttemptError,
    ) -> CutCause | None:
        """Return None if a call may go to another runner, or what forbids it.

        Charges the retry to the budget.
        """
        if admitted.deadline_ms <= self._timers.now_ms():
            return CutCause.NO_TIME
        if failure.is_final or not ledger.may_retry():
            return CutCause.RUNNERS_USED
        if failure.is_connection_lost and self._crash_tracker.may_be_cause(admitted):
            # Other runners crashed during this request, and probably this one did too.
            return CutCause.CRASHES_RUNNERS
        if not ledger.sends or self._retries.try_spend(admitted.pool):
            return None
        return CutCause.RETRY_BUDGET

    def _fail(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        failure: AttemptError,
        cause: CutCause,
    ) -> web.StreamResponse:
        """Abort the stream, return the runner's error response, or raise an error."""
        if stream.has_started:
            return self._abort_stream(
                admitted, ledger, stream, cause=cause, reason=failure.reason
            )
        if failure.response is not None:
            return self._complete(admitted, stream, failure.response)
        is_late = admitted.deadline_ms <= self._timers.now_ms()
        if ledger.may_have_run:
            status = 504 if is_late else 502
            outcome = Outcome.UNKNOWN
            refusal = self._crash_tracker.refusal(admitted)
            refused_ms = 0.0 if refusal is None else refusal.left_ms
            retry_after_ms = max(FAILED_RETRY_MS, round(refused_ms))
        else:
            status = 503
            outcome = Outcome.NOT_RUN
            retry_after_ms = self._not_run_retry_ms(admitted, stream)
        raise RequestError(
            status=status,
            outcome=outcome,
            step=failure.step,
            peer=failure.peer,
            reason=describe_failure(failure),
            retry_after_ms=retry_after_ms,
            details=self._returns.describe(admitted.pool) | {"cause": failure.reason},
        ) from failure

    def _complete(
        self,
        admitted: AdmittedCall,
        stream: CallerStream,
        complete: CompleteResponse | None,
    ) -> web.StreamResponse:
        """Return the complete response, or the stream if there is none."""
        body_end = stream.body_end if complete is None else complete.head.body_end
        if complete is None or complete.is_relayed:
            response = stream.response
        else:
            response = make_response(complete)
        self._call_log.record_answered(
            admitted, stream, status=response.status, ended_by=body_end.value
        )
        return response

    def _abort_stream(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        *,
        cause: CutCause,
        reason: str,
    ) -> web.StreamResponse:
        """Abort a stream that has started and cannot be completed."""
        self._call_log.record_cut(
            admitted, stream, cause=cause, reason=reason, runners_used=ledger.sends
        )
        return stream.abort()


def _describe_runners(pool: str, version: str | None) -> str:
    return repr(pool) if version is None else f"{pool!r} at version {version!r}"
