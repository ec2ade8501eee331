"""Carry one admitted call to runners until it is answered or given up on."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.edge.attempt_ledger import AttemptLedger, AttemptOutcome
from clementineyoke_core.edge.load_cap_share import load_cap_share
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.caller_stream import CallerStream
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.retry_window import RetryWindow
    from clementineyoke_core.edge.runner_health import RunnerHealth
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.attempt_executor import AttemptExecutor
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.edge.runner_response import WholeAnswer
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

REFUSED_RETRY_MS = 100
"""When a call that met a full or leaving runner may come back: the node knows by then
that the runner takes no more, and chooses another one."""
CLOSED_RETRY_MS = 1_000
"""When a call that found no runner at all may come back: those of an emptied zone, or
new ones, take seconds to return."""
RETURN_SPREAD_MS = 400
"""Spreads the return of callers that were refused while the node backed off from a
whole pool: all at once they would be refused again."""
BROKEN_RETRY_MS = 200
ANSWERED_ENDS = frozenset((AttemptOutcome.FAILED, AttemptOutcome.REFUSED))
"""Ends by which a runner shows that it can be reached."""
LONGEST_QUEUE_MS = 400
"""How long a call may wait for a slot before it is refused with a time to return."""


class Forwarder:
    """Own the tries of calls: whom to ask, what to make of the answer, what next."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        attempts: AttemptExecutor,
        health: RunnerHealth,
        crash_tracker: CrashTracker,
        retry_window: RetryWindow,
        timers: TimerService,
        decisions: DecisionRing,
        count_nodes: Callable[[], int],
        random_key: Callable[[], int],
        cap_factor: float,
    ) -> None:
        """Take the parts; ``cap_factor`` is the operator's cap over the mean load."""
        self._broker = broker
        self._attempts = attempts
        self._watch = health
        self._crashes = crash_tracker
        self._retries = retry_window
        self._timers = timers
        self._decisions = decisions
        self._sharers = count_nodes
        self._random_key = random_key
        self._cap_factor = cap_factor

    async def forward(
        self, request: web.Request, admitted: AdmittedCall
    ) -> web.StreamResponse:
        """Answer a call; raises ``RequestError`` when no runner's answer can be had."""
        self._crashes.check(admitted)
        self._retries.record_call(admitted.pool, now_ms=self._timers.now_ms())
        stream = CallerStream(request=request, last_event=admitted.call.last_event)
        ledger = AttemptLedger(
            may_repeat=admitted.route.may_repeat,
            max_runners=admitted.route.max_runners,
        )
        while True:
            lease = await self._acquire(admitted, ledger, stream)
            if lease is None:
                return self._cut(admitted, stream, reason="no runner has a free slot")
            runner = lease.runner
            begun_ms = self._timers.now_ms()
            with self._broker.holding(lease):
                try:
                    answer = await self._attempts.carry_out(
                        admitted,
                        runner,
                        stream,
                        partial(self._may_give_up, admitted, ledger, runner),
                    )
                except AttemptError as error:
                    self._record_failure(
                        admitted, ledger, lease, error, begun_ms=begun_ms
                    )
                    failure = error
                else:
                    self._watch.record_success(runner, now_ms=self._timers.now_ms())
                    self._crashes.note_answer(admitted)
                    self._broker.record_answered(lease)
                    return self._answer(
                        admitted,
                        stream.response if answer is None else _to_response(answer),
                    )
            if not self._may_go_on(admitted, ledger, failure):
                return self._give_up(admitted, ledger, stream, failure)

    async def _acquire(
        self, admitted: AdmittedCall, ledger: AttemptLedger, stream: CallerStream
    ) -> SlotLease | None:
        """Return a lease, or None when a begun stream cannot go on for want of one."""
        key = self._crashes.key_apart(admitted)
        if key is None:
            key = admitted.prompt_key
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        wish = SlotRequest(
            pool=admitted.pool,
            key=self._random_key() if key is None else key,
            team=hash_text(admitted.team or ""),
            priority=admitted.priority,
            wait_ms=int(max(0.0, min(LONGEST_QUEUE_MS, left_ms))),
            load_factor=self._cap_factor * load_cap_share(admitted.prompt_tokens),
            tried=ledger.tried,
        )
        lease = await self._broker.acquire(wish)
        if lease is not None:
            self._record_route(admitted, lease, attempt=len(ledger.tried) + 1)
            return lease
        if stream.has_begun:
            return None
        is_open = self._broker.has_available_runner(admitted.pool)
        raise RequestError(
            status=502 if ledger.may_have_run else 503,
            outcome=Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN,
            step="acquire_slot",
            reason=(
                f"no runner of {admitted.pool!r} has a free slot under its bound"
                if is_open
                else f"no runner of {admitted.pool!r} takes calls"
            ),
            retry_after_ms=self._refused_retry_ms(admitted.pool),
        )

    def _refused_retry_ms(self, pool: str) -> int:
        """Return when a call that did not run may come back."""
        if self._broker.has_available_runner(pool):
            return REFUSED_RETRY_MS
        backoff_ms = self._broker.backoff_left_ms(pool, now_ms=self._timers.now_ms())
        if not backoff_ms:
            return CLOSED_RETRY_MS
        return math.ceil(backoff_ms) + self._random_key() % RETURN_SPREAD_MS

    def _may_give_up(
        self, admitted: AdmittedCall, ledger: AttemptLedger, runner: Runner
    ) -> bool:
        """Whether a call may leave a silent runner, because another may be tried."""
        if not ledger.may_abandon_attempt():
            return False
        tried = {*ledger.tried, runner.runner_id}
        return self._broker.has_untried_runner(
            admitted.pool, tried
        ) and self._retries.has_budget(
            admitted.pool, node_count=self._sharers(), now_ms=self._timers.now_ms()
        )

    def _may_go_on(
        self, admitted: AdmittedCall, ledger: AttemptLedger, failure: AttemptError
    ) -> bool:
        now_ms = self._timers.now_ms()
        if admitted.deadline_ms <= now_ms or not ledger.may_retry():
            return False
        if failure.is_break and self._crashes.is_suspect(admitted):
            # Runners ended under it before, and so, it seems, did this one.
            return False
        if not ledger.sends:
            return True
        return self._retries.try_spend(
            admitted.pool, node_count=self._sharers(), now_ms=now_ms
        )

    def _give_up(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        failure: AttemptError,
    ) -> web.StreamResponse:
        if stream.has_begun:
            return self._cut(admitted, stream, reason=failure.reason)
        if failure.answer is not None:
            return self._answer(admitted, _to_response(failure.answer))
        is_late = admitted.deadline_ms <= self._timers.now_ms()
        if ledger.may_have_run:
            status = 504 if is_late else 502
            outcome = Outcome.UNKNOWN
            retry_after_ms = max(
                BROKEN_RETRY_MS, round(self._crashes.refused_for_ms(admitted))
            )
        else:
            status = 503
            outcome = Outcome.NOT_RUN
            retry_after_ms = self._refused_retry_ms(admitted.pool)
        raise RequestError(
            status=status,
            outcome=outcome,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
            retry_after_ms=retry_after_ms,
        ) from failure

    def _answer(
        self, admitted: AdmittedCall, response: web.StreamResponse
    ) -> web.StreamResponse:
        self._decisions.record(
            Event.ANSWERED,
            request_id=admitted.call.call_id,
            status=response.status,
            after_ms=round(self._timers.now_ms() - admitted.arrived_ms),
        )
        return response

    def _cut(
        self, admitted: AdmittedCall, stream: CallerStream, *, reason: str
    ) -> web.StreamResponse:
        """Break a begun stream that cannot be completed."""
        self._decisions.record(
            Event.ANSWER_CUT,
            request_id=admitted.call.call_id,
            reason=reason,
            events=stream.events,
            after_ms=round(self._timers.now_ms() - admitted.arrived_ms),
        )
        return stream.abort()

    def _record_route(
        self, admitted: AdmittedCall, lease: SlotLease, *, attempt: int
    ) -> None:
        self._decisions.record(
            Event.ROUTED,
            request_id=admitted.call.call_id,
            route=admitted.route.name,
            version=admitted.version,
            team=admitted.team,
            pool=admitted.pool,
            runner=lease.runner.runner_id,
            reason=lease.reason,
            rank=lease.rank,
            attempt=attempt,
            passed_over=dict(lease.passed_over),
            evacuated_zones=self._broker.evacuated_zones(),
        )

    def _record_failure(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        lease: SlotLease,
        error: AttemptError,
        *,
        begun_ms: float,
    ) -> None:
        now_ms = self._timers.now_ms()
        runner = lease.runner
        ledger.record(error.peer, error.end)
        if error.end in ANSWERED_ENDS:
            self._broker.record_answered(lease)
        if admitted.deadline_ms > now_ms:
            # At the end of its time a call says little of the runner: the operator's
            # limit may be shorter than the work.
            self._watch.record_failure(runner, outcome=error.end, now_ms=now_ms)
            if error.end is AttemptOutcome.NOT_SENT:
                self._broker.report_fault(runner, is_unreachable=True)
            elif error.is_break:
                self._broker.report_fault(runner)
                self._crashes.note_break(admitted, runner, sent_ms=begun_ms)
        self._decisions.record(
            Event.RUNNER_FAILED,
            request_id=admitted.call.call_id,
            runner=error.peer,
            step=error.step,
            end=error.end.value,
            reason=error.reason,
            kind=admitted.route.kind.value,
            request_digest=admitted.digest.hex(),
            on_runner_ms=round(now_ms - begun_ms),
            after_ms=round(now_ms - admitted.arrived_ms),
        )


def _to_response(answer: WholeAnswer) -> web.Response:
    response = web.Response(status=answer.head.status, body=answer.body)
    for name, value in answer.head.passed_headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    return response
