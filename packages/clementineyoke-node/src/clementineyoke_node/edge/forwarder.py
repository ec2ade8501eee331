"""Carry one admitted call to runners until it is answered or given up on."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from clementineyoke_core.edge.attempt_ledger import AttemptEnd, AttemptLedger
from clementineyoke_core.edge.prompt_key import prompt_key
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.caller_stream import CallerStream
from clementineyoke_node.edge.runner_link import check_outcome, read_whole
from clementineyoke_node.platform.runner_codec import RunnerOrder
from clementineyoke_node.slots.slot_wish import SlotWish
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.patience import Patience
    from clementineyoke_core.edge.retry_window import RetryWindow
    from clementineyoke_core.edge.runner_watch import RunnerWatch
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.runner_link import OpenAnswer, RunnerLink, WholeAnswer
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
REFUSED_RETRY_MS = 100
"""When a call that met a full or leaving runner may come back: the node knows by then
that the runner takes no more, and chooses another one."""
BROKEN_RETRY_MS = 200
LONGEST_QUEUE_MS = 400
"""How long a call may wait for a slot before it is refused with a time to return."""


class Forwarder:
    """Own the tries of calls: whom to ask, what to make of the answer, what next."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        link: RunnerLink,
        rings: PoolRings,
        table: RunnerTable,
        watch: RunnerWatch,
        retries: RetryWindow,
        patience: Patience,
        timers: TimerService,
        decisions: DecisionRing,
        sharers: Callable[[], int],
        is_leaving: Callable[[], bool],
        random_key: Callable[[], int],
    ) -> None:
        self._broker = broker
        self._link = link
        self._rings = rings
        self._table = table
        self._watch = watch
        self._retries = retries
        self._patience = patience
        self._timers = timers
        self._decisions = decisions
        self._sharers = sharers
        self._is_leaving = is_leaving
        self._random_key = random_key
        self._alarms: dict[str, asyncio.TimerHandle] = {}

    async def forward(
        self, request: web.Request, admitted: AdmittedCall
    ) -> web.StreamResponse:
        """Answer a call; raises ``RequestError`` when no runner's answer can be had."""
        self._retries.record_call(admitted.pool, now_ms=self._timers.now_ms())
        stream = CallerStream(request=request, last_event=admitted.call.last_event)
        ledger = AttemptLedger(
            may_repeat=admitted.route.may_repeat,
            most_runners=admitted.route.most_runners,
        )
        while True:
            lease = await self._acquire(admitted, ledger, stream)
            if lease is None:
                return self._aborted(stream)
            runner = lease.runner
            with self._broker.holding(lease):
                try:
                    answer = await self._attempt(admitted, runner, stream)
                except AttemptError as error:
                    self._record_failure(admitted, ledger, error)
                    failure = error
                else:
                    self._watch.record_success(
                        runner.runner_id, now_ms=self._timers.now_ms()
                    )
                    return answer
            if not self._may_go_on(admitted, ledger):
                return self._give_up(admitted, ledger, stream, failure)

    async def _acquire(
        self, admitted: AdmittedCall, ledger: AttemptLedger, stream: CallerStream
    ) -> SlotLease | None:
        """Return a lease, or None when a begun stream cannot go on for want of one."""
        call = admitted.call
        key = prompt_key(call.prompt_parts, model=call.model)
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        wish = SlotWish(
            pool=admitted.pool,
            key=self._random_key() if key is None else key,
            team=hash_text(admitted.team or ""),
            priority=admitted.priority,
            wait_ms=int(max(0.0, min(LONGEST_QUEUE_MS, left_ms))),
            tried=ledger.tried,
        )
        lease = await self._broker.acquire(wish)
        if lease is not None:
            self._record_route(admitted, lease, attempt=len(ledger.tried) + 1)
            return lease
        if stream.has_begun:
            return None
        raise RequestError(
            status=502 if ledger.may_have_run else 503,
            outcome=Outcome.UNKNOWN if ledger.may_have_run else Outcome.NOT_RUN,
            step="acquire_slot",
            reason=f"no runner of {admitted.pool!r} has a free slot under its bound",
            retry_after_ms=REFUSED_RETRY_MS,
        )

    async def _attempt(
        self, admitted: AdmittedCall, runner: Runner, stream: CallerStream
    ) -> web.StreamResponse:
        now_ms = self._timers.now_ms()
        left_ms = admitted.deadline_ms - now_ms
        if left_ms <= 0:
            raise AttemptError(
                end=AttemptEnd.NOT_SENT,
                step="dispatch",
                peer=runner.runner_id,
                reason="no time left",
            )
        key = prompt_key(admitted.call.prompt_parts, model=admitted.call.model)
        order = RunnerOrder(
            runner_id=runner.runner_id,
            team=admitted.team,
            left_ms=left_ms,
            urgency=admitted.priority,
            last_event=stream.last_event,
            fetch_from=None if key is None else self._holder(admitted, runner, key),
        )
        head_ms = min(left_ms, self._head_ms(admitted))
        async with (
            self._overdue_alarm(admitted, runner),
            self._link.open(runner, admitted.call, order, head_ms=head_ms) as answer,
        ):
            if answer.head.is_event_stream and not answer.head.is_refusal:
                return await self._relay(admitted, runner, stream, answer)
            whole = await self._read(admitted, runner, answer)
        check_outcome(whole, runner=runner)
        if stream.has_begun:
            raise AttemptError(
                end=AttemptEnd.FAILED,
                step="resume",
                peer=runner.runner_id,
                reason=f"answered {whole.head.status} to a stream that goes on",
            )
        return self._to_response(whole)

    async def _read(
        self, admitted: AdmittedCall, runner: Runner, answer: OpenAnswer
    ) -> WholeAnswer:
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        try:
            async with asyncio.timeout(max(1.0, left_ms) / MS_PER_S):
                return await read_whole(answer, runner=runner)
        except TimeoutError as error:
            raise AttemptError(
                end=AttemptEnd.LOST,
                step="read_body",
                peer=runner.runner_id,
                reason="the time is up",
            ) from error

    async def _relay(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        stream: CallerStream,
        answer: OpenAnswer,
    ) -> web.StreamResponse:
        if not answer.head.has_proof:
            raise AttemptError(
                end=AttemptEnd.LOST,
                step="check_proof",
                peer=runner.runner_id,
                reason="a stream without the runner's proof",
            )
        await stream.begin(answer.head, is_leaving=self._is_leaving())
        while chunk := await self._next_chunk(admitted, runner, answer, stream):
            self._stop_alarm(admitted)
            await stream.feed(chunk)
        if stream.has_part:
            raise AttemptError(
                end=AttemptEnd.LOST,
                step="relay",
                peer=runner.runner_id,
                reason="the stream stopped within an event",
            )
        return await stream.finish()

    async def _next_chunk(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        answer: OpenAnswer,
        stream: CallerStream,
    ) -> bytes:
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        pause_ms = (
            self._patience.pause_ms(admitted.route)
            if stream.events
            else self._head_ms(admitted)
        )
        try:
            async with asyncio.timeout(max(1.0, min(left_ms, pause_ms)) / MS_PER_S):
                return await answer.response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AttemptError(
                end=AttemptEnd.LOST,
                step="relay",
                peer=runner.runner_id,
                reason=repr(error),
                is_break=not isinstance(error, TimeoutError),
            ) from error

    def _holder(self, admitted: AdmittedCall, runner: Runner, key: int) -> str | None:
        """Return the address of another runner that most likely holds the prompt.

        A part that is fetched costs about a seventh of one that is read again.
        """
        for holder_id in self._rings.holders(admitted.pool, key):
            entry = self._table.get(holder_id)
            if holder_id == runner.runner_id or entry is None:
                continue
            return f"{entry.runner.address}:{entry.runner.port}"
        return None

    @asynccontextmanager
    async def _overdue_alarm(
        self, admitted: AdmittedCall, runner: Runner
    ) -> AsyncIterator[None]:
        """Report a runner whose answer is long overdue.

        A runner may take calls and never answer. Calls that may not be sent again wait
        out their time there; without a word meanwhile the next ones follow them.
        """
        overdue_ms = self._patience.overdue_ms(
            admitted.route, prompt_tokens=admitted.prompt_tokens
        )
        loop = asyncio.get_running_loop()
        alarm = loop.call_later(
            overdue_ms / MS_PER_S, self._report_overdue, admitted, runner
        )
        self._alarms[admitted.call.call_id] = alarm
        try:
            yield
        finally:
            self._stop_alarm(admitted)

    def _stop_alarm(self, admitted: AdmittedCall) -> None:
        alarm = self._alarms.pop(admitted.call.call_id, None)
        if alarm is not None:
            alarm.cancel()

    def _report_overdue(self, admitted: AdmittedCall, runner: Runner) -> None:
        self._broker.report_fault(runner.runner_id)
        self._decisions.record(
            Event.RUNNER_OVERDUE,
            request_id=admitted.call.call_id,
            runner=runner.runner_id,
            after_ms=round(self._timers.now_ms() - admitted.arrived_ms),
        )

    def _head_ms(self, admitted: AdmittedCall) -> float:
        return self._patience.head_ms(
            admitted.route, prompt_tokens=admitted.prompt_tokens
        )

    def _may_go_on(self, admitted: AdmittedCall, ledger: AttemptLedger) -> bool:
        now_ms = self._timers.now_ms()
        if admitted.deadline_ms <= now_ms or not ledger.may_try_again():
            return False
        if not ledger.sends:
            return True
        return self._retries.take(admitted.pool, sharers=self._sharers(), now_ms=now_ms)

    def _give_up(
        self,
        admitted: AdmittedCall,
        ledger: AttemptLedger,
        stream: CallerStream,
        failure: AttemptError,
    ) -> web.StreamResponse:
        if stream.has_begun:
            return self._aborted(stream)
        if failure.answer is not None:
            return self._to_response(failure.answer)
        is_late = admitted.deadline_ms <= self._timers.now_ms()
        if ledger.may_have_run:
            status = 504 if is_late else 502
            outcome = Outcome.UNKNOWN
        else:
            status = 503
            outcome = Outcome.NOT_RUN
        raise RequestError(
            status=status,
            outcome=outcome,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
            retry_after_ms=BROKEN_RETRY_MS if ledger.may_have_run else REFUSED_RETRY_MS,
        ) from failure

    def _aborted(self, stream: CallerStream) -> web.StreamResponse:
        response = stream.abort()
        if response is None:
            message = "a stream is aborted that has not begun"
            raise RuntimeError(message)
        return response

    def _to_response(self, answer: WholeAnswer) -> web.Response:
        response = web.Response(status=answer.head.status, body=answer.body)
        for name, value in answer.head.passed_headers:
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        return response

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
        )

    def _record_failure(
        self, admitted: AdmittedCall, ledger: AttemptLedger, error: AttemptError
    ) -> None:
        now_ms = self._timers.now_ms()
        ledger.record(error.peer, error.end)
        if admitted.deadline_ms > now_ms:
            # At the end of its time a call says little of the runner: the operator's
            # limit may be shorter than the work.
            self._watch.record_failure(error.peer, end=error.end, now_ms=now_ms)
            if error.is_break:
                self._broker.report_fault(error.peer)
        self._decisions.record(
            Event.RUNNER_FAILED,
            request_id=admitted.call.call_id,
            runner=error.peer,
            step=error.step,
            end=error.end.value,
            reason=error.reason,
            kind=admitted.route.kind.value,
            after_ms=round(now_ms - admitted.arrived_ms),
        )
