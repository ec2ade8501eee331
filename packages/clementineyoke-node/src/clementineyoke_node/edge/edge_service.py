"""Start a node on the platform, and stop it without cutting off calls."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from aiohttp import web

from clementineyoke_core.edge.startup_wait import StartupWait
from clementineyoke_node.config.edge_config import port_of
from clementineyoke_node.console.early_start import BACKLOG
from clementineyoke_node.edge.address_api import AddressApi
from clementineyoke_node.edge.caller_api import CallerApi
from clementineyoke_node.edge.caller_drain import CallerDrain
from clementineyoke_node.edge.edge_io import EdgeIo
from clementineyoke_node.edge.operator_api import OperatorApi
from clementineyoke_node.edge.peer_state_exchange import STATE_PATH
from clementineyoke_node.edge.request_bodies import RequestBodies
from clementineyoke_node.node_state import NodeState
from clementineyoke_node.platform import names
from clementineyoke_node.timers.loop_monitor import LoopMonitor
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from clementineyoke_node.config.edge_config import EdgeConfig

MS_PER_S = 1000.0
CLEANUP_RESERVE_MS = 400.0
"""Time reserved before the process is killed, to close what is still open."""
DRAIN_POLL_INTERVAL_MS = 50.0
MAX_HEADER_LINE_BYTES = 65_536
"""Limit on what a node reads of one line, whatever the operator allows."""
KEEPALIVE_TIMEOUT_S = 15.0


class EdgeService:
    """Run one node on the platform, from opening its sockets to its shutdown."""

    def __init__(
        self,
        *,
        config: EdgeConfig,
        take_listener: Callable[[str], socket.socket | None] = lambda address: None,
    ) -> None:
        """Build the node; ``take_listener`` returns sockets that are open already."""
        self._config = config
        self._take_listener = take_listener
        self._stack = AsyncExitStack()
        self._stop_requested = asyncio.Event()
        self.state = NodeState(config=config)
        self.io = EdgeIo(config=config, state=self.state)
        self._caller_api = CallerApi(
            view=self.io.view,
            forwarder=self.io.forwarder,
            in_flight=self.state.in_flight,
            timers=self.io.timers,
            decisions=self.state.decisions,
            metrics=self.state.metrics,
            rng=self.state.rng,
            membership=self.state.membership,
            startup_wait=StartupWait(),
            call_rate=self.state.call_rate,
            signer=self.state.signer,
            leave=self.io.leave,
            bodies=RequestBodies(
                max_total_bytes=config.request_bytes, metrics=self.state.metrics
            ),
            has_priority_classes=config.overload_features.priority_admission,
        )
        self._directory_api = AddressApi(
            membership=self.state.membership,
            is_serving=self._is_serving,
            calls_per_s=self.io.fleet_calls_per_s,
            timers=self.io.timers,
            max_ttl_ms=config.longest_keep_s * MS_PER_S,
        )

    async def __aenter__(self) -> Self:
        """Open the listening sockets, then connect to the store and the peers."""
        config = self._config
        self._caller_api.record_start()
        await self._serve_control()
        self._callers = await self._serve(self._caller_application(), [config.front])
        await self._stack.enter_async_context(self.io)
        loop_monitor = LoopMonitor(
            timers=self.io.timers,
            metrics=self.state.metrics,
            on_stall=self.io.connection_pool.liveness.record_stall,
        )
        loop_monitor.subscribe()
        self.io.connection_pool.on_probe = loop_monitor.check
        log_event(
            Event.NODE_STARTED, node=config.node_id, zone=config.availability_zone
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all remaining resources."""
        await self._stack.aclose()
        log_event(Event.NODE_STOPPED, node=self._config.node_id)

    def request_stop(self) -> None:
        """Request a stop; further requests have no effect."""
        self._stop_requested.set()

    def apply_config(self, config: EdgeConfig) -> None:
        """Apply new seeds of changed settings; all else takes effect at a restart."""
        self.io.contact_seeds(config.seeds)

    async def run_until_stopped(self) -> None:
        """Serve until a stop is requested, then drain calls until the stop deadline."""
        await self._stop_requested.wait()
        requested_ms = self.io.timers.now_ms()
        self.io.leave.begin(end_ms=self._end_ms(requested_ms))
        self.io.begin_leaving()
        log_event(Event.NODE_DRAINING, in_flight=self.state.in_flight.count)
        await asyncio.sleep(self._config.linger_ms / MS_PER_S)
        for site in list(self._callers.sites):
            await site.stop()
        await self._drain_calls(requested_ms)

    async def _drain_calls(self, requested_ms: float) -> None:
        end_ms = self._end_ms(requested_ms)
        drain = CallerDrain(
            connections=self._caller_connections, is_busy=self._caller_api.is_busy
        )
        while self.io.timers.now_ms() < end_ms:
            if drain.run_round() and not self.state.in_flight.count:
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_MS / MS_PER_S)
        log_event(
            Event.DRAIN_CUT,
            in_flight=self.state.in_flight.count,
            unsent=drain.unsent_count,
        )

    def _end_ms(self, requested_ms: float) -> float:
        """Return when calls are cut that are unanswered by then."""
        grace_ms = self._config.stop_deadline_s * MS_PER_S
        return requested_ms + grace_ms - CLEANUP_RESERVE_MS

    def _caller_connections(self) -> list[web.RequestHandler]:
        server = self._callers.server
        return [] if server is None else list(server.connections)

    def _is_serving(self) -> bool:
        return self.io.view.ready.is_set() and not self.state.membership.is_leaving

    def _caller_application(self) -> web.Application:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._caller_api.handle)
        return app

    async def _serve_control(self) -> None:
        config = self._config
        app = web.Application()
        app.router.add_get(names.READY_PATH, self._directory_api.ready)
        app.router.add_get(names.RESOLVE_PATH, self._directory_api.resolve)
        app.router.add_get(STATE_PATH, self.io.peers.handle_request)
        OperatorApi(state=self.state, io=self.io).add_routes(app)
        await self._serve(app, [config.ready, config.directory, config.control])

    async def _serve(self, app: web.Application, addresses: list[str]) -> web.AppRunner:
        runner = web.AppRunner(
            app,
            # Runners get a body as the caller sent it, with its content coding.
            auto_decompress=False,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            shutdown_timeout=CLEANUP_RESERVE_MS / 2 / MS_PER_S,
        )
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        for address in sorted(set(addresses)):
            await self._make_site(runner, address).start()
        return runner

    def _make_site(self, runner: web.AppRunner, address: str) -> web.BaseSite:
        listener = self._take_listener(address)
        if listener is not None:
            return web.SockSite(runner, listener, backlog=BACKLOG)
        host, port = address.rpartition(":")[0], port_of(address)
        return web.TCPSite(runner, host, port, backlog=BACKLOG)
