"""The wrapper around all handlers for callers."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.callers.error_responses import to_response
from clementineyoke_node.callers.truncated_response_error import TruncatedResponseError
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from clementineyoke_node.callers.authenticator import Authenticator
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.callers.in_flight import InFlight
    from clementineyoke_node.limits.team_limiter import TeamLimiter
    from clementineyoke_node.timers.timer_service import TimerService

    Handler = Callable[[web.Request, CallerRequest], Awaitable[web.StreamResponse]]

BUSY_RETRY_AFTER_MS = 1_000


class Gate:
    """Authenticate, count and rate-limit requests, and respond to their errors."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        limiter: TeamLimiter,
        in_flight: InFlight,
        timers: TimerService,
        decisions: DecisionRing,
        on_outcome: Callable[[str, float], None],
        on_unexpected_error: Callable[[Exception], None] = lambda _: None,
    ) -> None:
        """Create a gate; ``on_unexpected_error`` counts errors that nobody expects."""
        self._authenticator = authenticator
        self._limiter = limiter
        self._in_flight = in_flight
        self._timers = timers
        self._decisions = decisions
        self._on_outcome = on_outcome
        self._on_unexpected_error = on_unexpected_error
        self.is_leaving = False
        """Set while the node drains: responses then close keep-alive connections."""

    def guard(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return the handler with authentication, limits and error responses."""

        async def guarded(request: web.Request) -> web.StreamResponse:
            request_id = uuid.uuid4().hex
            received_ms = self._timers.now_ms()
            with self._in_flight.track():
                outcome, response = await self._respond(request, request_id, handler)
            if self.is_leaving and not response.prepared:
                response.force_close()
            self._on_outcome(outcome, self._timers.now_ms() - received_ms)
            return response

        return guarded

    async def _respond(
        self, request: web.Request, request_id: str, handler: Handler
    ) -> tuple[str, web.StreamResponse]:
        try:
            caller = await self._admit(request, request_id)
            response = await handler(request, caller)
        except RequestError as error:
            self._decisions.record(
                Event.ROUTE_REFUSED,
                request_id=request_id,
                chat=error.chat_id,
                step=error.step,
                peer=error.peer,
                outcome=error.outcome.value,
                reason=error.reason,
            )
            return error.outcome.value, to_response(error, request_id=request_id)
        except TruncatedResponseError as error:
            self._abort(request, request_id, error)
            # The status was sent already; only an aborted connection shows the fault.
            raise ConnectionAbortedError(str(error)) from error
        except ConnectionError:
            self._decisions.record(Event.CALLER_GONE, request_id=request_id)
            raise
        except Exception as error:
            # The request may have run, and the 500 that aiohttp sends says nothing of
            # that.
            self._decisions.record(
                Event.CALL_FAILED, request_id=request_id, reason=repr(error)
            )
            self._on_unexpected_error(error)
            raise
        self._decisions.record(Event.ANSWERED, request_id=request_id)
        return Outcome.RAN.value, response

    async def _admit(self, request: web.Request, request_id: str) -> CallerRequest:
        if self._in_flight.is_full:
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step="admit",
                reason="this node has as many requests as it may hold",
                retry_after_ms=BUSY_RETRY_AFTER_MS,
            )
        caller = self._authenticator.identify(
            request, request_id=request_id, now_ms=self._timers.now_ms()
        )
        limit = await self._limiter.acquire(caller.team_path)
        if not limit.is_allowed:
            raise RequestError(
                status=429,
                outcome=Outcome.NOT_RUN,
                step="limit_team",
                reason="the team's request rate is used up",
                retry_after_ms=max(1, limit.retry_after_ms),
            )
        return caller

    def _abort(
        self, request: web.Request, request_id: str, error: TruncatedResponseError
    ) -> None:
        self._decisions.record(
            Event.ANSWER_CUT,
            request_id=request_id,
            step=error.step,
            runner=error.peer,
            reason=error.reason,
        )
        if request.transport is not None:
            request.transport.abort()
