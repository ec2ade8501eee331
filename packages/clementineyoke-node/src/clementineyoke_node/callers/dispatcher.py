"""Routes one call: acquires a slot, sends the call and retries after failures."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.grants.call_profile import CallProfile
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.retry_budget import RetryBudget
from clementineyoke_node.callers.response_relay import is_framed
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

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 500
STATUS_SERVICE_UNAVAILABLE = 503


class RoutedCall(NamedTuple):
    """A call to be sent, its pool and the key that determines the order of runners."""

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
    """Try runners in the order of the call's key until one accepts the call."""

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
        self._retry_budget = RetryBudget()

    @asynccontextmanager
    async def exchange(
        self, call: RoutedCall
    ) -> AsyncIterator[tuple[Runner, aiohttp.ClientResponse]]:
        """Yield the runner and its response; the slot is held until the context ends.

        Raises ``RequestError`` if no runner grants a slot, the deadline has passed, or
        an attempt failed and may not be repeated. A call that may have been executed is
        sent again only if it is idempotent.
        """
        self._retry_budget.deposit()
        tried: list[str] = []
        uncertain_error: RunnerError | None = None
        while True:
            try:
                runner_call = self._to_runner_call(call)
                lease = await self._acquire(call, tried)
            except RequestError as error:
                raise _with_unknown_outcome(error, uncertain_error) from error
            tried.append(lease.runner.runner_id)
            with self._broker.holding(lease):
                response_accepted = False
                try:
                    async with self._client.exchange(
                        lease.runner, runner_call
                    ) as runner_response:
                        self._check_head(lease.runner, runner_response)
                        response_accepted = True
                        self._table.record_success(lease.runner.runner_id)
                        yield lease.runner, runner_response
                        return
                except RunnerError as error:
                    if response_accepted:
                        raise
                    self._record_failure(call, error)
                    if error.may_have_run:
                        uncertain_error = error
                    self._raise_unless_retriable(
                        call,
                        error,
                        uncertain_error=uncertain_error,
                        attempts=len(tried),
                    )

    async def _acquire(self, call: RoutedCall, tried: list[str]) -> SlotLease:
        remaining_ms = call.caller.deadline_ms - self._timers.now_ms()
        slot_request = SlotRequest(
            pool=call.pool,
            key=call.key,
            profile=CallProfile(hash_text(call.caller.team_path), call.caller.priority),
            wait_ms=max(0, min(call.caller.queue_ms, int(remaining_ms))),
            tried=tried,
            preferred=call.preferred,
        )
        lease = await self._broker.acquire(slot_request)
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
        remaining_ms = call.caller.deadline_ms - self._timers.now_ms()
        if remaining_ms <= 0:
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
            timeout_ms=remaining_ms,
            is_idempotent=call.is_idempotent,
        )

    def _check_head(
        self, runner: Runner, runner_response: aiohttp.ClientResponse
    ) -> None:
        if headers.DRAINING in runner_response.headers:
            now_ms = self._timers.now_ms()
            self._table.record_draining(runner.runner_id, now_ms=now_ms)
            if runner_response.status == STATUS_SERVICE_UNAVAILABLE:
                raise RunnerError(
                    step="read_head",
                    peer=runner.runner_id,
                    reason="the runner is leaving and did not take the call",
                    may_have_run=False,
                )
        if not is_framed(runner_response):
            raise RunnerError(
                step="read_head",
                peer=runner.runner_id,
                reason="the answer does not say where it ends",
                may_have_run=True,
            )

    def _record_failure(self, call: RoutedCall, error: RunnerError) -> None:
        # A failure before the request was sent is a fault of the runner, not of the
        # request, so the runner is quarantined until a probe finds it ready.
        if not error.may_have_run:
            self._table.quarantine(error.peer, now_ms=self._timers.now_ms())
        self._decisions.record(
            Event.RUNNER_FAILED,
            request_id=call.caller.request_id,
            chat=call.chat_id,
            runner=error.peer,
            step=error.step,
            reason=error.reason,
            may_have_run=error.may_have_run,
        )

    def _raise_unless_retriable(
        self,
        call: RoutedCall,
        error: RunnerError,
        *,
        uncertain_error: RunnerError | None,
        attempts: int,
    ) -> None:
        may_resend = call.is_idempotent or not error.may_have_run
        deadline_passed = call.caller.deadline_ms <= self._timers.now_ms()
        is_retriable = may_resend and attempts < MAX_ATTEMPTS and not deadline_passed
        if is_retriable and self._retry_budget.try_spend():
            return
        outcome = Outcome.NOT_RUN if uncertain_error is None else Outcome.UNKNOWN
        raise RequestError(
            status=504 if deadline_passed else 502,
            outcome=outcome,
            step=error.step,
            peer=error.peer,
            reason=error.reason,
            retry_after_ms=RETRY_AFTER_MS,
        ) from error


def _with_unknown_outcome(
    error: RequestError, uncertain_error: RunnerError | None
) -> RequestError:
    """Return the error with the outcome "unknown" if an earlier attempt may have run.

    A retry that gets no slot did not run, but the attempt before it may have run: the
    outcome "not run" would be wrong for the request as a whole.
    """
    if uncertain_error is None:
        return error
    return RequestError(
        status=error.status,
        outcome=Outcome.UNKNOWN,
        step=uncertain_error.step,
        peer=uncertain_error.peer,
        reason=f"{uncertain_error.reason}; then {error.step}: {error.reason}",
        retry_after_ms=error.retry_after_ms,
        chat_id=error.chat_id,
    )
