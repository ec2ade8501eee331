"""Put the node together, start it in order and stop it gracefully."""

from __future__ import annotations

import asyncio
import ssl
from contextlib import AsyncExitStack, suppress
from random import Random
from typing import TYPE_CHECKING, Any, ClassVar

from aiohttp import web
from aiomisc import Service

from clementineyoke_core.homes import Homes
from clementineyoke_core.mean_load import MeanLoad
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.placement_token import PlacementToken
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotLedger
from clementineyoke_core.steering import Steering
from clementineyoke_node.admin.admin_api import AdminApi
from clementineyoke_node.callers.address_handler import AddressHandler
from clementineyoke_node.callers.authenticator import Authenticator
from clementineyoke_node.callers.chat_handler import CHAT_PATH, ChatHandler
from clementineyoke_node.callers.decision_ring import DecisionRing
from clementineyoke_node.callers.dispatcher import Dispatcher
from clementineyoke_node.callers.gate import Gate
from clementineyoke_node.callers.in_flight import InFlight
from clementineyoke_node.callers.service_handler import ServiceHandler
from clementineyoke_node.claims.claim_client import ClaimClient
from clementineyoke_node.claims.claim_home import ClaimHome
from clementineyoke_node.fleet.gossiper import Gossiper
from clementineyoke_node.fleet.host_watcher import HostWatcher
from clementineyoke_node.limits.team_limiter import TeamLimiter
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerSocket
from clementineyoke_node.platform.http_platform import HttpPlatform
from clementineyoke_node.runners.runner_client import RunnerClient
from clementineyoke_node.runners.runner_prober import RunnerProber
from clementineyoke_node.settings.peer_changes import HttpPeerChanges
from clementineyoke_node.settings.settings_keeper import SettingsKeeper
from clementineyoke_node.settings.settings_writer import SettingsWriter
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_home import SlotHome
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_node.timers.timer_service import MS_PER_S, TimerService
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.seal import Seal

if TYPE_CHECKING:
    from clementineyoke_node.config.node_config import NodeConfig

RENEWAL_INTERVAL_MS = 4_000
EXPIRY_INTERVAL_MS = 1_000
SERVE_WAITING_INTERVAL_MS = 50
PROBE_INTERVAL_MS = 250
METRICS_INTERVAL_MS = 1_000
SETTINGS_POLL_MS = 30_000
SNAPSHOT_INTERVAL_MS = 10_000
SNAPSHOT_DUTY = "settings snapshot"
WATCHERS_A_ZONE = 2
STOP_POLL_S = 0.05
FLUSH_TIMEOUT_S = 3.0
SERVICE_ROUTE = "/v1/services/{service}/{path:.*}"
ADDRESSES_PATH = "/v1/addresses"


class NodeService(Service):
    """Own every part of one node, from socket to tree."""

    config: NodeConfig
    peer_socket_type: ClassVar[type[PeerSocket]] = PeerSocket
    __required__ = ("config",)

    async def start(self) -> None:
        """Begin to serve; readiness waits for hosts and settings."""
        self._stack = AsyncExitStack()
        self._stop_ordered = asyncio.Event()
        self._cut_ordered = asyncio.Event()
        self._leaving = False
        self._serving = False
        self._build_core()
        await self._build_io()
        self._build_callers()
        self._subscribe()
        await self._open(self._build_admin(), self.config.peer_port, None)
        self._tasks.spawn(self._open_to_callers(), name="open_to_callers")

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

    def _build_core(self) -> None:
        config = self.config
        own = Node(
            config.node_id,
            config.address,
            config.caller_port,
            config.peer_port,
            config.availability_zone,
            config.region,
        )
        incarnation = TimerService.wall_ms() // 1000
        self._membership = Membership(own=own, incarnation=incarnation, rng=Random())
        self._table = RunnerTable()
        self._rings = PoolRings(table=self._table, region=config.region)
        self._homes = Homes()
        self._mean_load = MeanLoad()
        self._ledger = SlotLedger()
        self._seal = Seal(keys=config.peer_keys)
        self._decisions = DecisionRing()
        self._metrics = Metrics()
        self._in_flight = InFlight(most=config.max_requests)

    async def _build_io(self) -> None:
        config = self.config
        enter = self._stack.enter_async_context
        self._tasks = await enter(BackgroundTasks())
        self._timers = await enter(TimerService())
        self._socket = await enter(
            self.peer_socket_type(
                seal=self._seal,
                address=PeerAddress(config.address, config.peer_port),
                incarnation=self._membership.incarnation,
            )
        )
        self._platform = await enter(
            HttpPlatform(url=config.platform_url, timeout_ms=config.platform_timeout_ms)
        )
        self._client = await enter(RunnerClient())
        self._keeper = await enter(
            SettingsKeeper(
                objects=self._platform,
                peers=HttpPeerChanges(seal=self._seal),
                has_watch_duty=self._has_watch_duty,
                has_snapshot_duty=self._has_snapshot_duty,
            )
        )
        self._build_slots()
        self._gossiper = Gossiper(
            socket=self._socket,
            membership=self._membership,
            mean_load=self._mean_load,
            settings_version=lambda: self._keeper.log.version,
            on_newer_settings=self._keeper.hear_of_newer,
            on_change=self._apply_hosts,
            probe_timeout_ms=config.probe_timeout_ms,
        )
        await self._build_claims()
        self._hosts = await enter(
            HostWatcher(
                host_list=self._platform,
                membership=self._membership,
                table=self._table,
                timers=self._timers,
                on_change=self._apply_hosts,
            )
        )

    def _build_slots(self) -> None:
        self._slot_home = SlotHome(
            own_id=self.config.node_id,
            ledger=self._ledger,
            table=self._table,
            homes=self._homes,
            mean_load=self._mean_load,
            socket=self._socket,
            timers=self._timers,
        )
        self._broker = SlotBroker(
            membership=self._membership,
            table=self._table,
            rings=self._rings,
            homes=self._homes,
            slot_home=self._slot_home,
            socket=self._socket,
            timeout_ms=self.config.slot_timeout_ms,
        )
        self._prober = RunnerProber(
            table=self._table, client=self._client, timers=self._timers
        )

    async def _build_claims(self) -> None:
        config = self.config
        self._claim_home = await self._stack.enter_async_context(
            ClaimHome(
                objects=self._platform,
                timers=self._timers,
                socket=self._socket,
                shards=config.claim_shards,
                batch_ms=config.claim_batch_ms,
                patience_ms=config.claim_timeout_ms,
            )
        )
        self._claims = ClaimClient(
            membership=self._membership,
            homes=self._homes,
            home=self._claim_home,
            socket=self._socket,
            timers=self._timers,
            shards=config.claim_shards,
            timeout_ms=config.claim_timeout_ms,
        )

    def _build_callers(self) -> None:
        authenticator = Authenticator(keeper=self._keeper)
        limiter = TeamLimiter(
            membership=self._membership,
            homes=self._homes,
            keeper=self._keeper,
            socket=self._socket,
            timers=self._timers,
            timeout_ms=self.config.slot_timeout_ms,
        )
        self._gate = Gate(
            authenticator=authenticator,
            limiter=limiter,
            in_flight=self._in_flight,
            timers=self._timers,
            decisions=self._decisions,
            on_outcome=self._metrics.record_outcome,
        )
        dispatcher = Dispatcher(
            broker=self._broker,
            client=self._client,
            table=self._table,
            timers=self._timers,
            decisions=self._decisions,
        )
        self._chats = ChatHandler(
            authenticator=authenticator,
            dispatcher=dispatcher,
            tokens=PlacementToken(keys=self.config.peer_keys),
        )
        self._services = ServiceHandler(
            authenticator=authenticator, dispatcher=dispatcher, claims=self._claims
        )
        self._addresses = AddressHandler(
            membership=self._membership,
            homes=self._homes,
            rings=self._rings,
            steering=Steering(),
            keeper=self._keeper,
        )

    async def _open_to_callers(self) -> None:
        """Serve callers once hosts and settings are known, and not before."""
        await self._hosts.ready.wait()
        await self._keeper.ready.wait()
        config = self.config
        await self._open(self._caller_application(), config.caller_port, _tls(config))
        self._serving = True
        log_event(Event.NODE_STARTED, node=config.node_id)

    def _build_admin(self) -> web.Application:
        config = self.config
        admin = AdminApi(
            key_hashes=config.admin_key_hashes,
            seal=self._seal,
            keeper=self._keeper,
            writer=SettingsWriter(
                objects=self._platform, keeper=self._keeper, author_node=config.node_id
            ),
            decisions=self._decisions,
            metrics=self._metrics,
            timers=self._timers,
            status=self._status,
            is_ready=lambda: self._serving and not self._leaving,
            begin_drain=self.order_stop,
        )
        return admin.application()

    def _caller_application(self) -> web.Application:
        app = web.Application(client_max_size=self.config.max_body_bytes)
        guard = self._gate.guard
        app.router.add_post(CHAT_PATH, guard(self._chats.handle))
        app.router.add_get(ADDRESSES_PATH, guard(self._addresses.handle))
        app.router.add_route("*", SERVICE_ROUTE, guard(self._services.handle))
        return app

    async def _open(
        self, app: web.Application, port: int, tls: ssl.SSLContext | None
    ) -> None:
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, self.config.address, port, ssl_context=tls)
        await site.start()

    def _subscribe(self) -> None:
        subscribe = self._timers.subscribe
        subscribe(
            "gossip",
            interval_ms=self.config.gossip_interval_ms,
            call=self._gossiper.run_round,
        )
        subscribe("renew", interval_ms=RENEWAL_INTERVAL_MS, call=self._broker.renew)
        subscribe("expire", interval_ms=EXPIRY_INTERVAL_MS, call=self._slot_home.expire)
        subscribe(
            "serve_waiting",
            interval_ms=SERVE_WAITING_INTERVAL_MS,
            call=self._slot_home.serve_all_waiting,
        )
        subscribe("probe", interval_ms=PROBE_INTERVAL_MS, call=self._prober.run_round)
        subscribe("poll", interval_ms=SETTINGS_POLL_MS, call=self._keeper.poll)
        subscribe(
            "snapshot",
            interval_ms=SNAPSHOT_INTERVAL_MS,
            call=self._keeper.write_snapshot,
        )
        subscribe("metrics", interval_ms=METRICS_INTERVAL_MS, call=self._copy_metrics)

    def _apply_hosts(self) -> None:
        self._rings.rebuild()
        region = self.config.region
        alive = [node.node_id for node in self._membership.alive(region=region)]
        moved = self._homes.replace_nodes(alive)
        self._slot_home.rebuild()
        pools = {entry.runner.pool for entry in self._table.entries()}
        self._gossiper.learn_pools(pools)
        if moved:
            # New homes know nothing of what already runs until they are told.
            self._tasks.spawn(self._broker.renew(), name="renew_at_new_homes")

    def _has_watch_duty(self) -> bool:
        zone = self.config.availability_zone
        region = self.config.region
        peers = sorted(
            node.node_id
            for node in self._membership.alive(region=region)
            if node.availability_zone == zone
        )
        return self.config.node_id in peers[:WATCHERS_A_ZONE]

    def _has_snapshot_duty(self) -> bool:
        return self._homes.home_of(SNAPSHOT_DUTY) == self.config.node_id

    def _begin_leaving(self) -> None:
        if self._leaving:
            return
        self._leaving = True
        self._gate.is_leaving = True
        self._membership.begin_leaving()
        self._apply_hosts()
        log_event(Event.NODE_DRAINING, in_flight=self._in_flight.count)

    async def _end_requests(self) -> None:
        idle = asyncio.ensure_future(self._wait_idle())
        cut = asyncio.ensure_future(self._cut_ordered.wait())
        await asyncio.wait(
            (idle, cut),
            timeout=self.config.stop_deadline_ms / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not idle.done():
            log_event(Event.DRAIN_CUT, in_flight=self._in_flight.count)
        idle.cancel()
        cut.cancel()

    async def _wait_idle(self) -> None:
        await self._in_flight.wait_idle()
        await self._services.finish_runs()

    async def _flush_reports(self) -> None:
        # A report that is never written leaves its key at "unknown", which is safe;
        # without this bound a stop during an outage waited for the whole deadline.
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while not self._claim_home.is_idle:
                    await asyncio.sleep(STOP_POLL_S)

    async def _copy_metrics(self) -> None:
        metrics = self._metrics
        metrics.in_flight.set({}, self._in_flight.count)
        metrics.settings_version.set({}, self._keeper.log.version)
        metrics.claim_writes.set({}, self._claim_home.writes)
        for kind, sent in self._socket.sent_bytes.items():
            metrics.control_bytes.set({"kind": kind}, sent)
        for runner_id, in_use in self._slot_home.loads().items():
            metrics.runner_slots.set({"runner": runner_id}, in_use)

    def _status(self) -> dict[str, Any]:
        members = self._membership
        return {
            "node": self.config.node_id,
            "started": members.started,
            "leaving": self._leaving,
            "settings_version": self._keeper.log.version,
            "in_flight": self._in_flight.count,
            "slots_held": self._broker.held(),
            "claim_writes": self._claim_home.writes,
            "control_sent_bytes": dict(self._socket.sent_bytes),
            "control_received_bytes": self._socket.received_bytes,
            "nodes": {
                node.node_id: members.state(node.node_id).name.lower()
                for node in members.nodes()
            },
            "runners": {
                entry.runner.runner_id: {
                    "state": entry.state.value,
                    "pool": entry.runner.pool,
                    "home": self._homes.home_of(entry.runner.runner_id),
                }
                for entry in self._table.entries()
            },
            "homed_slots": self._slot_home.loads(),
        }


def _tls(config: NodeConfig) -> ssl.SSLContext | None:
    if not config.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(config.tls_certificate_file, config.tls_key_file)
    return context
