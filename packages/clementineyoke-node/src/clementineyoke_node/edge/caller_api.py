"""HTTP handler for callers: decodes, admits and forwards calls."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.edge.admission import admit
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.forwarder import REACH_STEP
from clementineyoke_node.edge.held_response import send_held
from clementineyoke_node.edge.leave_check import LEAVE_STEP
from clementineyoke_node.platform.call_decoder import decode_call
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.node_responses import encode_error, error_headers
from clementineyoke_wire.events import Event
from clementineyoke_wire.headers import HOP, HOP_REFUSED
from clementineyoke_wire.hop_codec import decode_hop

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_core.edge.call_rate import CallRate
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.edge.hop import Hop
    from clementineyoke_core.edge.startup_wait import StartupWait
    from clementineyoke_core.membership import Membership
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.callers.in_flight import InFlight
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.edge.forwarder import Forwarder
    from clementineyoke_node.edge.leave_check import LeaveCheck
    from clementineyoke_node.edge.request_bodies import RequestBodies
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.message_signer import MessageSigner

MS_PER_S = 1000.0
REACH_STEPS = frozenset((REACH_STEP, LEAVE_STEP, "connect"))
"""Steps of errors after which another node may still serve the call."""
BUSY_RETRY_MS = 500


class CallerApi:
    """Answers callers' requests, each with one response or a broken connection."""

    def __init__(
        self,
        *,
        view: FleetView,
        forwarder: Forwarder,
        in_flight: InFlight,
        timers: TimerService,
        decisions: DecisionRing,
        metrics: Metrics,
        rng: Random,
        membership: Membership,
        startup_wait: StartupWait,
        call_rate: CallRate,
        signer: MessageSigner,
        leave: LeaveCheck,
        bodies: RequestBodies,
        has_priority_classes: bool = False,
    ) -> None:
        """Create the handler; ``has_priority_classes`` is described at ``admit``."""
        self._signer = signer
        self._bodies = bodies
        self._leave = leave
        self._has_priority_classes = has_priority_classes
        self._view = view
        self._forwarder = forwarder
        self._in_flight = in_flight
        self._timers = timers
        self._decisions = decisions
        self._metrics = metrics
        self._rng = rng
        self._membership = membership
        self._startup_wait = startup_wait
        self._call_rate = call_rate
        self._active_connections: set[web.RequestHandler] = set()

    def record_start(self) -> None:
        """Record the node's start, as the origin of the wait for its first state."""
        self._startup_wait.record_start(now_ms=self._timers.now_ms())

    def is_busy(self, connection: web.RequestHandler) -> bool:
        """Return whether a call is in progress on a caller's connection."""
        return connection in self._active_connections

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle a request, and record its outcome and duration."""
        arrived_ms = self._timers.now_ms()
        self._call_rate.record(now_ms=arrived_ms)
        connection = request.protocol
        self._active_connections.add(connection)
        try:
            with self._in_flight.track():
                response = await self._respond(request, arrived_ms)
            if self._membership.is_leaving:
                response.force_close()
            with suppress(ConnectionError):
                # aiohttp ends the connection of a caller who has left.
                await send_held(response, request)
        finally:
            self._active_connections.discard(connection)
        elapsed_ms = self._timers.now_ms() - arrived_ms
        self._metrics.record_outcome(str(response.status), elapsed_ms)
        return response

    async def _respond(
        self, request: web.Request, arrived_ms: float
    ) -> web.StreamResponse:
        try:
            call = decode_call(
                method=request.method,
                target=request.raw_path,
                fields=request.headers,
                body=b"",
            )
        except FormatError as error:
            return web.Response(
                status=400, body=encode_error(step=error.step, reason=error.reason)
            )
        with self._bodies.open() as holding:
            try:
                body = await self._bodies.read(request, holding)
            except RequestError as error:
                return self._error_response(
                    call, error, arrived_ms, is_forwarded=HOP in request.headers
                )
            call = call._replace(body=body)
            return await self._respond_to(request, call, arrived_ms)

    async def _respond_to(
        self, request: web.Request, call: EdgeCall, arrived_ms: float
    ) -> web.StreamResponse:
        try:
            return await self._serve(request, call, arrived_ms)
        except RequestError as error:
            return self._error_response(
                call, error, arrived_ms, is_forwarded=HOP in request.headers
            )
        except asyncio.CancelledError:
            self._decisions.record(Event.CALLER_GONE, request_id=call.call_id)
            raise
        except ConnectionError as error:
            # The caller has closed its connection, and no response can reach it.
            self._decisions.record(
                Event.CALLER_GONE, request_id=call.call_id, reason=repr(error)
            )
            return web.Response(status=502)
        except Exception as error:
            # The call may have run: aiohttp answers 500, which says nothing about that,
            # or breaks off a response that has begun.
            self._decisions.record(
                Event.CALL_FAILED, request_id=call.call_id, reason=repr(error)
            )
            self._metrics.record_unexpected_error(error)
            raise

    async def _serve(
        self, request: web.Request, call: EdgeCall, arrived_ms: float
    ) -> web.StreamResponse:
        if self._in_flight.is_full:
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step="admit",
                reason="this node has as many requests as it may hold",
                retry_after_ms=BUSY_RETRY_MS,
            )
        if not self._view.ready.is_set():
            await self._wait_for_state()
        hop = self._decode_hop(request, call)
        if hop is not None and hop.state_revision > self._view.state_revision:
            # Served here, the call would be handled by an older desired state.
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step=REACH_STEP,
                reason=f"the desired state {hop.state_revision} is not in force yet",
                retry_after_ms=BUSY_RETRY_MS,
            )
        admitted = admit(
            call,
            self._view.routes,
            arrived_ms=arrived_ms,
            rng=self._rng,
            has_priority_classes=self._has_priority_classes,
        )
        with self._leave.track(admitted) as tracker:
            response = await self._forwarder.forward(
                request, admitted._replace(hop=hop)
            )
            tracker.record(request, response)
        return response

    def _decode_hop(self, request: web.Request, call: EdgeCall) -> Hop | None:
        """Return the hop of a call that a peer has forwarded, or None."""
        text = request.headers.get(HOP)
        if text is None:
            return None
        return decode_hop(text, call_id=call.call_id, signer=self._signer)

    async def _wait_for_state(self) -> None:
        wait_ms = self._startup_wait.begin_wait(now_ms=self._timers.now_ms())
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S):
                await self._view.ready.wait()
        except TimeoutError:
            return  # The call is admitted or refused by the state known so far.
        finally:
            self._startup_wait.end_wait()

    def _error_response(
        self,
        call: EdgeCall,
        error: RequestError,
        arrived_ms: float,
        *,
        is_forwarded: bool,
    ) -> web.Response:
        self._decisions.record(
            Event.ROUTE_REFUSED,
            request_id=call.call_id,
            status=error.status,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome.value,
            reason=error.reason,
            retry_after_ms=error.retry_after_ms,
            after_ms=round(self._timers.now_ms() - arrived_ms),
            **error.details,
        )
        headers = error_headers(call.call_id, retry_after_ms=error.retry_after_ms)
        may_try_peer = error.step in REACH_STEPS and error.outcome is Outcome.NOT_RUN
        if is_forwarded and may_try_peer:
            headers[HOP_REFUSED] = "1"
        return web.Response(
            status=error.status,
            body=encode_error(step=error.step, reason=error.reason),
            headers=headers,
        )
