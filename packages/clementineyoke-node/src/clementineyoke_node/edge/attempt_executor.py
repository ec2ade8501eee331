"""Carry out one attempt of a call at one runner."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import aiohttp

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.overdue_timer import OverdueAlarm
from clementineyoke_node.edge.response_checks import check_outcome, read_whole
from clementineyoke_node.edge.runner_timeout import RunnerWait
from clementineyoke_node.platform.runner_codec import RunnerOrder
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.attempt_timeouts import AttemptTimeouts
    from clementineyoke_core.edge.prompt_holders import PromptHolders
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.edge.runner_response import OpenAnswer, WholeAnswer
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
LEAST_WAIT_S = 0.001


class AttemptExecutor:
    """Send a call to a runner, and hand on or return what comes back."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        connection_pool: RunnerConnectionPool,
        rings: PoolRings,
        table: RunnerTable,
        timeouts: AttemptTimeouts,
        prompt_holders: PromptHolders,
        timers: TimerService,
        decisions: DecisionRing,
        membership: Membership,
    ) -> None:
        self._broker = broker
        self._link = connection_pool
        self._rings = rings
        self._table = table
        self._patience = timeouts
        self._holders = prompt_holders
        self._timers = timers
        self._decisions = decisions
        self._membership = membership

    async def carry_out(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        stream: CallerStream,
        may_go_on: Callable[[], bool],
    ) -> WholeAnswer | None:
        """Return the runner's whole answer, or None when its stream was handed on.

        ``may_go_on`` tells whether another runner may be tried if this one is silent.
        Raises ``AttemptError``.
        """
        now_ms = self._timers.now_ms()
        left_ms = admitted.deadline_ms - now_ms
        if left_ms <= 0:
            raise AttemptError(
                end=AttemptOutcome.NOT_SENT,
                step="dispatch",
                peer=runner.runner_id,
                reason="no time left",
            )
        order = RunnerOrder(
            runner_id=runner.runner_id,
            team=admitted.team,
            left_ms=left_ms,
            urgency=admitted.priority,
            last_event=stream.last_event,
            fetch_from=self._holder(admitted, runner),
        )
        head_wait = self._head_wait(admitted, may_go_on)
        with self._alarm(admitted, runner) as alarm:
            async with self._link.open(
                runner,
                admitted.call,
                order,
                wait=head_wait,
                may_repeat=admitted.route.may_repeat,
            ) as answer:
                if answer.head.is_event_stream and not answer.head.is_refusal:
                    await self._relay(
                        admitted,
                        runner,
                        stream,
                        answer,
                        alarm,
                        may_go_on,
                        begun_ms=now_ms,
                    )
                    return None
                whole = await self._read(admitted, runner, answer)
        check_outcome(whole, runner=runner)
        if stream.has_begun:
            raise AttemptError(
                end=AttemptOutcome.FAILED,
                step="resume",
                peer=runner.runner_id,
                reason=f"answered {whole.head.status} to a stream that goes on",
            )
        return whole

    async def _read(
        self, admitted: AdmittedCall, runner: Runner, answer: OpenAnswer
    ) -> WholeAnswer:
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        try:
            async with asyncio.timeout(max(LEAST_WAIT_S, left_ms / MS_PER_S)):
                return await read_whole(answer, runner=runner)
        except TimeoutError as error:
            raise AttemptError(
                end=AttemptOutcome.LOST,
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
        alarm: OverdueAlarm,
        may_go_on: Callable[[], bool],
        *,
        begun_ms: float,
    ) -> None:
        if not answer.head.has_proof:
            raise AttemptError(
                end=AttemptOutcome.LOST,
                step="check_proof",
                peer=runner.runner_id,
                reason="a stream without the runner's proof",
            )
        await stream.begin(answer.head, is_leaving=self._membership.is_leaving)
        is_first = True
        while chunk := await self._next_chunk(
            admitted, runner, answer, stream, may_go_on
        ):
            alarm.stop()
            if is_first:
                self._patience.record_first_event(
                    admitted.route, latency_ms=self._timers.now_ms() - begun_ms
                )
                is_first = False
                self._note_holder(admitted, runner)
            await stream.feed(chunk)
        if stream.has_part:
            raise AttemptError(
                end=AttemptOutcome.LOST,
                step="relay",
                peer=runner.runner_id,
                reason="the stream stopped within an event",
            )
        await stream.finish()

    async def _next_chunk(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        answer: OpenAnswer,
        stream: CallerStream,
        may_go_on: Callable[[], bool],
    ) -> bytes:
        if stream.events:
            wait = self._pause_wait(admitted, may_go_on)
        else:
            wait = self._head_wait(admitted, may_go_on)
        try:
            async with wait.bounded():
                return await answer.response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AttemptError(
                end=AttemptOutcome.LOST,
                step="relay",
                peer=runner.runner_id,
                reason=repr(error),
                is_break=not isinstance(error, TimeoutError),
            ) from error

    def _holder(self, admitted: AdmittedCall, runner: Runner) -> str | None:
        """Return the address of another runner that most likely holds the prompt.

        A part that is fetched costs about a seventh of one that is read again.
        """
        if admitted.prompt_key is None:
            return None
        last = self._last_holder(admitted.prompt_key)
        if last is not None and last.runner_id != runner.runner_id:
            return f"{last.address}:{last.port}"
        for holder_id in self._rings.cache_candidates(
            admitted.pool, admitted.prompt_key
        ):
            entry = self._table.get(holder_id)
            if holder_id == runner.runner_id or entry is None:
                continue
            return f"{entry.runner.address}:{entry.runner.port}"
        return None

    def _last_holder(self, prompt_key: int) -> Runner | None:
        """Return the runner that answered for a prompt last, if it can be asked."""
        last = self._holders.last_holder(prompt_key, now_ms=self._timers.now_ms())
        if last is None or not self._table.is_current(last):
            return None
        # One that is dark would hold up the runner that fetches from it.
        return None if self._table.is_quarantined(last.runner_id) else last

    def _note_holder(self, admitted: AdmittedCall, runner: Runner) -> None:
        if admitted.prompt_key is not None:
            self._holders.record_answer(
                admitted.prompt_key, runner, now_ms=self._timers.now_ms()
            )

    def _alarm(self, admitted: AdmittedCall, runner: Runner) -> OverdueAlarm:
        after_ms = self._patience.overdue_after_ms(
            admitted.route, prompt_tokens=admitted.prompt_tokens
        )
        return OverdueAlarm(
            after_ms=after_ms, call=partial(self._report_overdue, admitted, runner)
        )

    def _report_overdue(self, admitted: AdmittedCall, runner: Runner) -> None:
        self._broker.report_fault(runner)
        self._decisions.record(
            Event.RUNNER_OVERDUE,
            request_id=admitted.call.call_id,
            runner=runner.runner_id,
            after_ms=round(self._timers.now_ms() - admitted.arrived_ms),
        )

    def _head_wait(
        self, admitted: AdmittedCall, may_go_on: Callable[[], bool]
    ) -> RunnerWait:
        route, tokens = admitted.route, admitted.prompt_tokens
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        return RunnerWait(
            patience_ms=self._patience.head_timeout_ms(route, prompt_tokens=tokens),
            longest_ms=min(
                left_ms,
                self._patience.last_attempt_timeout_ms(route, prompt_tokens=tokens),
            ),
            may_go_on=may_go_on,
        )

    def _pause_wait(
        self, admitted: AdmittedCall, may_go_on: Callable[[], bool]
    ) -> RunnerWait:
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        return RunnerWait(
            patience_ms=self._patience.next_event_timeout_ms(admitted.route),
            longest_ms=left_ms,
            may_go_on=may_go_on,
        )
