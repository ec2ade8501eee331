"""Route one call: a slot, an exchange, and what to do when it fails."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.retry_budget import RetryBudget
from clementineyoke_node.callers.answer_relay import has_length
from clementineyoke_node.runners.runner_client import RunnerCall
from clementineyoke_node.runners.runner_error import RunnerError
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire import headers
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.runners.runner_client import RunnerClient
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.slots.slot_lease import SlotLease
    from clementineyoke_node.timers.timer_service import TimerService

MOST_ATTEMPTS = 3
RETRY_AFTER_MS = 500
STATUS_UNAVAILABLE = 503


class RoutedCall(NamedTuple):
    """What to send where, and by which key to find the runner."""

    caller: CallerRequest
    pool: str
    key: int
    chat_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_idempotent: bool
    preferred: str | None = None
    """The runner that a placement token names."""


class Dispatcher:
    """Try runners in the key's order until one has begun the call."""

    def __init__(
        self,
        *,
        broker: SlotBroker,
        client: RunnerClient,
        table: RunnerTable,
        timers: TimerService,
        decisions: DecisionRing,
    ) -> None:
        self._broker = broker
        self._client = client
        self._table = table
        self._timers = timers
        self._decisions = decisions
        self._retries = RetryBudget()

    @asynccontextmanager
    async def exchange(
        self, call: RoutedCall
    ) -> AsyncIterator[tuple[Runner, aiohttp.ClientResponse]]:
        """Yield the runner and its answer's head; the slot is held meanwhile.

        Raises ``RequestError``. A call that may have begun is sent again only if it is
        idempotent.
        """
        self._retries.deposit()
        tried: list[str] = []
        unsure: RunnerError | None = None
        while True:
            try:
                runner_call = self._to_runner_call(call)
                lease = await self._acquire(call, tried)
            except RequestError as error:
                raise _as_unknown(error, unsure) from error
            tried.append(lease.runner.runner_id)
            with self._broker.holding(lease):
                begun = False
                try:
                    async with self._client.exchange(
                        lease.runner, runner_call
                    ) as answer:
                        self._check_head(lease.runner, answer)
                        begun = True
                        self._table.record_success(lease.runner.runner_id)
                        yield lease.runner, answer
                        return
                except RunnerError as error:
                    if begun:
                        raise
                    self._record_failure(call, error)
                    if error.may_have_run:
                        unsure = error
                    self._raise_if_final(
                        call, error, unsure=unsure, attempts=len(tried)
                    )

    async def _acquire(self, call: RoutedCall, tried: list[str]) -> SlotLease:
        left_ms = call.caller.deadline_ms - self._timers.now_ms()
        wish = SlotRequest(
            pool=call.pool,
            key=call.key,
            team=hash_text(call.caller.team_path),
            priority=call.caller.priority,
            wait_ms=max(0, min(call.caller.queue_ms, int(left_ms))),
            tried=tried,
            preferred=call.preferred,
        )
        lease = await self._broker.acquire(wish)
        if lease is None:
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step="acquire_slot",
                reason=f"no runner of {call.pool!r} has a free slot under its bound",
                retry_after_ms=RETRY_AFTER_MS,
                chat_id=call.chat_id,
            )
        self._decisions.record(
            Event.ROUTED,
            request_id=call.caller.request_id,
            chat=call.chat_id,
            team=call.caller.team_path,
            pool=call.pool,
            runner=lease.runner.runner_id,
            reason=lease.reason,
            rank=lease.rank,
        )
        return lease

    def _to_runner_call(self, call: RoutedCall) -> RunnerCall:
        left_ms = call.caller.deadline_ms - self._timers.now_ms()
        if left_ms <= 0:
            raise RequestError(
                status=504,
                outcome=Outcome.NOT_RUN,
                step="dispatch",
                reason="the deadline passed before a runner had begun",
            )
        return RunnerCall(
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            request_id=call.caller.request_id,
            timeout_ms=left_ms,
            is_idempotent=call.is_idempotent,
        )

    def _check_head(self, runner: Runner, answer: aiohttp.ClientResponse) -> None:
        if headers.DRAINING in answer.headers:
            now_ms = self._timers.now_ms()
            self._table.record_draining(runner.runner_id, now_ms=now_ms)
            if answer.status == STATUS_UNAVAILABLE:
                raise RunnerError(
                    step="read_head",
                    peer=runner.runner_id,
                    reason="the runner is leaving and did not take the call",
                    may_have_run=False,
                )
        if not has_length(answer):
            raise RunnerError(
                step="read_head",
                peer=runner.runner_id,
                reason="the answer does not say where it ends",
                may_have_run=True,
            )

    def _record_failure(self, call: RoutedCall, error: RunnerError) -> None:
        # Paper, section 2: a failure before the request began is about the runner,
        # not about the request, so it takes the runner out until it proves itself.
        if not error.may_have_run:
            self._table.record_transport_failure(
                error.peer, now_ms=self._timers.now_ms()
            )
        self._decisions.record(
            Event.RUNNER_FAILED,
            request_id=call.caller.request_id,
            chat=call.chat_id,
            runner=error.peer,
            step=error.step,
            reason=error.reason,
            may_have_run=error.may_have_run,
        )

    def _raise_if_final(
        self,
        call: RoutedCall,
        error: RunnerError,
        *,
        unsure: RunnerError | None,
        attempts: int,
    ) -> None:
        may_repeat = call.is_idempotent or not error.may_have_run
        out_of_time = call.caller.deadline_ms <= self._timers.now_ms()
        wants_retry = may_repeat and attempts < MOST_ATTEMPTS and not out_of_time
        if wants_retry and self._retries.try_spend():
            return
        outcome = Outcome.NOT_RUN if unsure is None else Outcome.UNKNOWN
        raise RequestError(
            status=504 if out_of_time else 502,
            outcome=outcome,
            step=error.step,
            peer=error.peer,
            reason=error.reason,
            retry_after_ms=RETRY_AFTER_MS,
        ) from error


def _as_unknown(error: RequestError, unsure: RunnerError | None) -> RequestError:
    """Return the error as it may be told after an attempt that may have run.

    A retry that gets no slot did not run, but the attempt before it may have: telling
    the caller "not run" of the request as a whole would be false.
    """
    if unsure is None:
        return error
    return RequestError(
        status=error.status,
        outcome=Outcome.UNKNOWN,
        step=unsure.step,
        peer=unsure.peer,
        reason=f"{unsure.reason}; then {error.step}: {error.reason}",
        retry_after_ms=error.retry_after_ms,
        chat_id=error.chat_id,
    )
