"""Starts one node and shuts it down gracefully."""

from __future__ import annotations

import asyncio
import ssl
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, ClassVar

from aiohttp import web
from aiomisc import Service

from clementineyoke_node.admin.admin_api import AdminApi
from clementineyoke_node.caller_server import CallerServer
from clementineyoke_node.node_io import NodeIo
from clementineyoke_node.node_state import NodeState
from clementineyoke_node.node_status import copy_metrics, describe_node
from clementineyoke_node.peers.peer_socket import PeerSocket
from clementineyoke_node.settings.settings_writer import SettingsWriter
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_node.config.node_config import NodeConfig

METRICS_INTERVAL_MS = 1_000
FLUSH_POLL_INTERVAL_S = 0.05
FLUSH_TIMEOUT_S = 3.0
MS_PER_S = 1000.0


class NodeService(Service):
    """Own one node from startup to graceful shutdown."""

    config: NodeConfig
    socket_type: ClassVar[type[PeerSocket]] = PeerSocket
    __required__ = ("config",)

    async def start(self) -> None:
        """Open the operators' port.

        The callers' port opens when hosts and settings are known.
        """
        self._stop_requested = asyncio.Event()
        self._abort_requested = asyncio.Event()
        self._is_leaving = False
        self._is_serving = False
        self._stack = AsyncExitStack()
        self.state = NodeState(config=self.config)
        self.io = await self._stack.enter_async_context(
            NodeIo(config=self.config, state=self.state, socket_type=self.socket_type)
        )
        self._caller_server = CallerServer(
            config=self.config, state=self.state, io=self.io
        )
        self.io.timers.subscribe(
            "metrics", interval_ms=METRICS_INTERVAL_MS, callback=self._copy_metrics
        )
        await self._listen(self._create_admin_app(), self.config.peer_port, None)
        self.io.tasks.spawn(self._listen_for_callers(), name="open_to_callers")

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave the fleet, linger for callers with a cached address, and close."""
        self._begin_leaving()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.config.stop_linger_ms / MS_PER_S):
                await self._abort_requested.wait()
        await self._finish_requests()
        await self._flush_reports()
        await self._stack.aclose()
        log_event(Event.NODE_STOPPED, node=self.config.node_id)

    def request_stop(self) -> None:
        """Request a graceful stop; a second request aborts the calls in flight."""
        if self._stop_requested.is_set():
            self._abort_requested.set()
        self._stop_requested.set()

    async def wait_for_stop_request(self) -> None:
        """Wait until a signal or an operator requests a stop."""
        await self._stop_requested.wait()

    async def _listen_for_callers(self) -> None:
        await self.io.host_watcher.ready.wait()
        await self.io.settings.ready.wait()
        config = self.config
        app = self._caller_server.application()
        await self._listen(app, config.caller_port, _create_tls_context(config))
        self._is_serving = True
        log_event(Event.NODE_STARTED, node=config.node_id)

    def _create_admin_app(self) -> web.Application:
        state, io = self.state, self.io
        writer = SettingsWriter(
            objects=io.platform, settings=io.settings, author_node=self.config.node_id
        )
        admin = AdminApi(
            key_hashes=self.config.admin_key_hashes,
            signer=state.signer,
            settings=io.settings,
            writer=writer,
            decisions=state.decisions,
            metrics=state.metrics,
            timers=io.timers,
            status=lambda: describe_node(state, io, is_leaving=self._is_leaving),
            is_ready=lambda: self._is_serving and not self._is_leaving,
            begin_drain=self.request_stop,
        )
        return admin.application()

    async def _listen(
        self, app: web.Application, port: int, tls: ssl.SSLContext | None
    ) -> None:
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, self.config.address, port, ssl_context=tls)
        await site.start()

    def _begin_leaving(self) -> None:
        if self._is_leaving:
            return
        self._is_leaving = True
        self._caller_server.gate.is_leaving = True
        self.state.membership.begin_leaving()
        self.io.apply_hosts()
        log_event(Event.NODE_DRAINING, in_flight=self.state.in_flight.count)

    async def _finish_requests(self) -> None:
        idle = asyncio.ensure_future(self._wait_idle())
        abort = asyncio.ensure_future(self._abort_requested.wait())
        await asyncio.wait(
            (idle, abort),
            timeout=self.config.stop_deadline_ms / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not idle.done():
            log_event(Event.DRAIN_CUT, in_flight=self.state.in_flight.count)
        idle.cancel()
        abort.cancel()

    async def _wait_idle(self) -> None:
        await self.state.in_flight.wait_idle()
        await self._caller_server.wait_for_runs()

    async def _flush_reports(self) -> None:
        # A report that is not written leaves its key "unknown", which is safe. Without
        # a timeout, a stop during an outage would take the whole deadline.
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while not self.io.claim_home.is_idle:
                    await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    async def _copy_metrics(self) -> None:
        copy_metrics(self.state, self.io)


def _create_tls_context(config: NodeConfig) -> ssl.SSLContext | None:
    if not config.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(config.tls_certificate_file, config.tls_key_file)
    return context
