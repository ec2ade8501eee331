"""Executes one attempt of a call at one runner."""

from __future__ import annotations

import math
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.streams.stream_steps import PoolSteps
from clementineyoke_node.edge.answer_ends import AnswerEnds, may_go_on
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.overdue_timer import OverdueTimer
from clementineyoke_node.edge.response_checks import check_outcome, check_resumption
from clementineyoke_node.edge.runner_timeout import RunnerTimeout
from clementineyoke_node.platform.runner_codec import RoutingHeaders
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.attempt_timeouts import AttemptTimeouts
    from clementineyoke_core.edge.prompt_holders import PromptHolders
    from clementineyoke_core.pool_rings import PoolRings
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.answer_reader import AnswerReader
    from clementineyoke_node.edge.attempt import Attempt
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.failover import Failover
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.leave_check import LeaveCheck
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.edge.runner_response import CompleteResponse, OpenResponse
    from clementineyoke_node.edge.streams.stream_reader import EventReader
    from clementineyoke_node.edge.streams.stream_registry import StreamRegistry
    from clementineyoke_node.edge.token_accounting import TokenAccounting
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService


class AttemptExecutor:
    """Sends a call to a runner, and relays the stream or returns the response."""

    def __init__(
        self,
        *,
        fault_reports: FaultReports,
        connection_pool: RunnerConnectionPool,
        rings: PoolRings,
        table: RunnerTable,
        timeouts: AttemptTimeouts,
        prompt_holders: PromptHolders,
        timers: TimerService,
        decisions: DecisionRing,
        leave: LeaveCheck,
        token_accounting: TokenAccounting,
        metrics: Metrics,
        streams: StreamRegistry,
        answers: AnswerReader,
    ) -> None:
        self._fault_reports = fault_reports
        self._connection_pool = connection_pool
        self._rings = rings
        self._table = table
        self._timeouts = timeouts
        self._prompt_holders = prompt_holders
        self._timers = timers
        self._decisions = decisions
        self._leave = leave
        self._token_accounting = token_accounting
        self._metrics = metrics
        self._streams = streams
        self._answers = answers
        self._pool_steps = PoolSteps()
        self._ends = AnswerEnds(table=table, metrics=metrics, decisions=decisions)

    @asynccontextmanager
    async def open(
        self,
        admitted: AdmittedCall,
        lease: SlotLease,
        stream: CallerStream,
        failover: Failover,
    ) -> AsyncIterator[OpenResponse]:
        """Send a call to the runner of a lease, and yield the response once it begins.

        ``failover`` finds another runner while this one is silent. Raises
        ``AttemptError`` when there is no response.
        """
        runner = lease.runner
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        if left_ms <= 0:
            raise AttemptError(
                outcome=AttemptOutcome.NOT_SENT,
                step="dispatch",
                peer=runner.runner_id,
                reason="no time left",
            )
        self._leave.check_send(admitted, stream, peer=runner.runner_id)
        routing = RoutingHeaders(
            runner_id=runner.runner_id,
            team=admitted.team,
            remaining_ms=left_ms,
            urgency=admitted.priority,
            last_event=stream.last_event_id,
            fetch_from=self._fetch_address(admitted, runner),
        )
        async with self._connection_pool.send(
            runner,
            admitted.call,
            routing,
            runner_timeout=self._head_timeout(admitted, stream, failover),
            may_repeat=admitted.route.may_repeat,
            send_before_ms=lease.send_before_ms,
        ) as response:
            yield response

    async def execute(
        self,
        admitted: AdmittedCall,
        attempt: Attempt,
        stream: CallerStream,
        failover: Failover,
    ) -> CompleteResponse | None:
        """Return the runner's complete response, or None when its stream was relayed.

        Raises ``AttemptError`` when the attempt gave no valid response.
        """
        runner = attempt.lease.runner
        stream.unwritten_event_count = 0
        with self._make_overdue_timer(admitted, runner) as overdue_timer:
            async with attempt.opening as response:
                if response.head.begins_stream:
                    with self._answers.open_events(
                        admitted, response, stream, peer=runner.runner_id
                    ) as reader:
                        await self._relay_stream(
                            admitted, attempt, stream, reader, overdue_timer, failover
                        )
                    return None
                complete = await self._answers.read(
                    admitted,
                    response,
                    stream,
                    peer=runner.runner_id,
                    on_relay=overdue_timer.stop,
                )
                if complete.is_relayed:
                    return complete
                complete = complete._replace(ended_ms=self._timers.now_ms())
                await self._ends.check(
                    admitted, runner, response, stream, step="read_body"
                )
        check_outcome(complete, peer=runner.runner_id)
        check_resumption(
            complete.head, peer=runner.runner_id, stream_status=stream.status
        )
        return complete

    async def _relay_stream(
        self,
        admitted: AdmittedCall,
        attempt: Attempt,
        stream: CallerStream,
        reader: EventReader,
        overdue_timer: OverdueTimer,
        failover: Failover,
    ) -> None:
        try:
            await self._relay(
                admitted, attempt, stream, reader, overdue_timer, failover
            )
        except AttemptError as error:
            if not may_go_on(admitted, stream):
                error.is_final = True
            raise

    async def _relay(
        self,
        admitted: AdmittedCall,
        attempt: Attempt,
        stream: CallerStream,
        reader: EventReader,
        overdue_timer: OverdueTimer,
        failover: Failover,
    ) -> None:
        runner, response = attempt.lease.runner, reader.response
        if not response.head.has_signature:
            raise AttemptError(
                outcome=AttemptOutcome.LOST,
                step="check_proof",
                peer=runner.runner_id,
                reason="a stream without the runner's proof",
            )
        check_resumption(
            response.head, peer=runner.runner_id, stream_status=stream.status
        )
        stream.active_ms = self._timers.now_ms()
        await stream.start(
            response.head,
            is_leaving=self._leave.is_leaving,
            steps=self._pool_steps.begin_run(runner.pool, runner.runner_id),
        )
        on_begin = partial(
            self._record_begin, admitted, runner, stream, response.connected_ms
        )
        is_first = True
        while True:
            timeout = self._event_timeout(admitted, stream, failover)
            if (events := await reader.next_events(timeout.enforce())) is None:
                break
            overdue_timer.stop()
            if is_first:
                self._check_version(runner, stream, response)
                latency_ms = self._timers.now_ms() - attempt.started_ms
                self._timeouts.record_first_event(admitted.route, latency_ms=latency_ms)
                self._token_accounting.record_first_event(
                    admitted,
                    prefill_tokens=attempt.lease.prefill_tokens,
                    latency_ms=latency_ms,
                )
                is_first = False
                self._record_holder(admitted, runner)
                self._record_resumption(stream, runner)
            received_ms = stream.active_ms = self._timers.now_ms()
            await stream.write_events(events, on_begin=on_begin)
            stream.pace.record(
                len(events), received_ms=received_ms, written_ms=self._timers.now_ms()
            )
        await self._ends.check(admitted, runner, response, stream, step="relay")
        await stream.finish()

    def _event_timeout(
        self, admitted: AdmittedCall, stream: CallerStream, failover: Failover
    ) -> RunnerTimeout:
        if not stream.sent_event_count:
            return self._head_timeout(admitted, stream, failover)
        soft_timeout_ms = self._timeouts.next_event_timeout_ms(admitted.route)
        if not may_go_on(admitted, stream):
            soft_timeout_ms = math.inf
        return RunnerTimeout(
            soft_timeout_ms=soft_timeout_ms,
            hard_timeout_ms=admitted.deadline_ms - self._timers.now_ms(),
            failover=failover,
        )

    def _fetch_address(self, admitted: AdmittedCall, runner: Runner) -> str | None:
        """Return the address of another runner that probably has the prompt cached.

        Fetching a part of a prompt costs about a seventh of processing it again. What
        another software version has written may not fit, and runners do not check it.
        """
        if admitted.prompt_key is None or self._may_be_replaced(runner):
            return None
        last = self._last_holder(admitted.prompt_key)
        if last is not None and self._may_fetch(runner, last):
            return f"{last.address}:{last.port}"
        for holder_id in self._rings.cache_candidates(
            admitted.pool, admitted.prompt_key
        ):
            entry = self._table.get(holder_id)
            if entry is None or not self._may_fetch(runner, entry.runner):
                continue
            return f"{entry.runner.address}:{entry.runner.port}"
        return None

    def _may_fetch(self, runner: Runner, holder: Runner) -> bool:
        """Return whether a runner can use the cache of another one."""
        if runner.runner_id == holder.runner_id or runner.version != holder.version:
            return False
        return not self._may_be_replaced(holder)

    def _may_be_replaced(self, runner: Runner) -> bool:
        """Return whether a runner may by now have another version than its entry."""
        return self._table.may_be_replaced(runner, connected_ms=math.inf)

    def _last_holder(self, prompt_key: int) -> Runner | None:
        """Return the usable runner that last answered a call with a prompt."""
        last = self._prompt_holders.last_holder(
            prompt_key, now_ms=self._timers.now_ms()
        )
        if last is None or not self._table.is_current(last):
            return None
        # A runner that fetches from an unreachable one would be delayed.
        return None if self._table.is_quarantined(last.runner_id) else last

    def _record_holder(self, admitted: AdmittedCall, runner: Runner) -> None:
        if admitted.prompt_key is not None:
            self._prompt_holders.record_answer(
                admitted.prompt_key, runner, now_ms=self._timers.now_ms()
            )

    def _check_version(
        self, runner: Runner, stream: CallerStream, response: OpenResponse
    ) -> None:
        """Raise ``AttemptError`` if a runner may go on at another version."""
        if stream.version is None:
            return
        if runner.version == stream.version and not self._table.may_be_replaced(
            runner, connected_ms=response.connected_ms
        ):
            return
        raise AttemptError(
            outcome=AttemptOutcome.FAILED,
            step="resume",
            peer=runner.runner_id,
            reason=f"the runner may not have version {stream.version!r}",
            is_runner_fault=False,
        )

    def _record_begin(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        stream: CallerStream,
        connected_ms: float,
    ) -> None:
        stream.version = self._streams.record_begin(
            admitted, runner, connected_ms=connected_ms
        )

    def _record_resumption(self, stream: CallerStream, runner: Runner) -> None:
        """Count a stream of which another runner has produced the first events."""
        if stream.last_event_id is None:
            return
        if stream.version is None:
            match = "unknown"
        else:
            match = "same" if stream.version == runner.version else "other"
        self._metrics.streams_resumed.inc(
            {
                "pool": runner.pool,
                "source": "answer" if stream.sent_event_count else "caller",
                "version": match,
            }
        )

    def _make_overdue_timer(
        self, admitted: AdmittedCall, runner: Runner
    ) -> OverdueTimer:
        after_ms = self._timeouts.overdue_after_ms(
            admitted.route, prompt_tokens=admitted.prompt_tokens
        )
        return OverdueTimer(
            after_ms=after_ms,
            on_overdue=partial(self._report_overdue, admitted, runner),
        )

    def _report_overdue(self, admitted: AdmittedCall, runner: Runner) -> None:
        self._fault_reports.record_overdue(runner)
        self._decisions.record(
            Event.RUNNER_OVERDUE,
            request_id=admitted.call.call_id,
            runner=runner.runner_id,
            after_ms=round(self._timers.now_ms() - admitted.arrived_ms),
        )

    def _head_timeout(
        self, admitted: AdmittedCall, stream: CallerStream, failover: Failover
    ) -> RunnerTimeout:
        route, tokens = admitted.route, admitted.prompt_tokens
        hard_timeout_ms = admitted.deadline_ms - self._timers.now_ms()
        if not stream.has_started:
            hard_timeout_ms = min(
                hard_timeout_ms,
                self._timeouts.last_attempt_timeout_ms(route, prompt_tokens=tokens),
            )
        return RunnerTimeout(
            soft_timeout_ms=self._timeouts.head_timeout_ms(route, prompt_tokens=tokens),
            hard_timeout_ms=hard_timeout_ms,
            failover=failover,
        )
