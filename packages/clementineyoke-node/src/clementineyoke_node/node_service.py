"""Start one node in order and stop it gracefully."""

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
STOP_POLL_S = 0.05
FLUSH_TIMEOUT_S = 3.0
MS_PER_S = 1000.0


class NodeService(Service):
    """Own one node from its first socket to its last answer."""

    config: NodeConfig
    socket_type: ClassVar[type[PeerSocket]] = PeerSocket
    __required__ = ("config",)

    async def start(self) -> None:
        """Open the operators' port; callers wait for hosts and settings."""
        self._stop_ordered = asyncio.Event()
        self._cut_ordered = asyncio.Event()
        self._is_leaving = False
        self._is_serving = False
        self._stack = AsyncExitStack()
        self.state = NodeState(config=self.config)
        self.io = await self._stack.enter_async_context(
            NodeIo(config=self.config, state=self.state, socket_type=self.socket_type)
        )
        self._callers = CallerServer(config=self.config, state=self.state, io=self.io)
        self.io.timers.subscribe(
            "metrics", interval_ms=METRICS_INTERVAL_MS, call=self._copy_metrics
        )
        await self._open(self._make_admin(), self.config.peer_port, None)
        self.io.tasks.spawn(self._open_to_callers(), name="open_to_callers")

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave, let callers with an old address finish, then end."""
        self._begin_leaving()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.config.stop_linger_ms / MS_PER_S):
                await self._cut_ordered.wait()
        await self._end_requests()
        await self._flush_reports()
        await self._stack.aclose()
        log_event(Event.NODE_STOPPED, node=self.config.node_id)

    def order_stop(self) -> None:
        """Take an order to stop; a second one cuts what is still in flight."""
        if self._stop_ordered.is_set():
            self._cut_ordered.set()
        self._stop_ordered.set()

    async def wait_for_stop_order(self) -> None:
        """Return once a signal or an operator has told the node to stop."""
        await self._stop_ordered.wait()

    async def _open_to_callers(self) -> None:
        await self.io.hosts.ready.wait()
        await self.io.keeper.ready.wait()
        config = self.config
        app = self._callers.application()
        await self._open(app, config.caller_port, _tls(config))
        self._is_serving = True
        log_event(Event.NODE_STARTED, node=config.node_id)

    def _make_admin(self) -> web.Application:
        state, io = self.state, self.io
        writer = SettingsWriter(
            objects=io.platform, settings=io.keeper, author_node=self.config.node_id
        )
        admin = AdminApi(
            key_hashes=self.config.admin_key_hashes,
            seal=state.seal,
            settings=io.keeper,
            writer=writer,
            decisions=state.decisions,
            metrics=state.metrics,
            timers=io.timers,
            status=lambda: describe_node(state, io, is_leaving=self._is_leaving),
            is_ready=lambda: self._is_serving and not self._is_leaving,
            begin_drain=self.order_stop,
        )
        return admin.application()

    async def _open(
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
        self._callers.gate.is_leaving = True
        self.state.membership.begin_leaving()
        self.io.apply_hosts()
        log_event(Event.NODE_DRAINING, in_flight=self.state.in_flight.count)

    async def _end_requests(self) -> None:
        idle = asyncio.ensure_future(self._wait_idle())
        cut = asyncio.ensure_future(self._cut_ordered.wait())
        await asyncio.wait(
            (idle, cut),
            timeout=self.config.stop_deadline_ms / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not idle.done():
            log_event(Event.DRAIN_CUT, in_flight=self.state.in_flight.count)
        idle.cancel()
        cut.cancel()

    async def _wait_idle(self) -> None:
        await self.state.in_flight.wait_idle()
        await self._callers.wait_for_runs()

    async def _flush_reports(self) -> None:
        # A report that is never written leaves its key at "unknown", which is safe;
        # without this bound a stop during an outage waited for the whole deadline.
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while not self.io.claim_home.is_idle:
                    await asyncio.sleep(STOP_POLL_S)

    async def _copy_metrics(self) -> None:
        copy_metrics(self.state, self.io)


def _tls(config: NodeConfig) -> ssl.SSLContext | None:
    if not config.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(config.tls_certificate_file, config.tls_key_file)
    return context
