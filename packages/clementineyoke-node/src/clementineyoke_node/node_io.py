"""The parts of one node that own sockets, connections, timers and tasks."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from clementineyoke_node.claims.claim_client import ClaimClient
from clementineyoke_node.claims.claim_home import ClaimHome
from clementineyoke_node.fleet.gossiper import Gossiper
from clementineyoke_node.fleet.host_watcher import HostWatcher
from clementineyoke_node.objects.http_platform import HttpPlatform
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerSocket
from clementineyoke_node.runners.runner_client import RunnerClient
from clementineyoke_node.runners.runner_prober import RunnerProber
from clementineyoke_node.settings.peer_settings import HttpPeerSettings
from clementineyoke_node.settings.settings_replica import SettingsReplica
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_home import SlotHome
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_node.timers.timer_service import TimerService

if TYPE_CHECKING:
    from clementineyoke_node.config.node_config import NodeConfig
    from clementineyoke_node.node_state import NodeState

RENEWAL_INTERVAL_MS = 4_000
EXPIRY_INTERVAL_MS = 1_000
SERVE_WAITING_INTERVAL_MS = 50
PROBE_INTERVAL_MS = 250
SETTINGS_POLL_MS = 30_000
SNAPSHOT_INTERVAL_MS = 10_000


class NodeIo:
    """Own the parts, in the order in which they need each other."""

    def __init__(
        self,
        *,
        config: NodeConfig,
        state: NodeState,
        socket_type: type[PeerSocket] = PeerSocket,
    ) -> None:
        self._config = config
        self._state = state
        self._stack = AsyncExitStack()
        self.tasks = BackgroundTasks()
        self.timers = TimerService()
        self.socket = socket_type(
            seal=state.seal,
            address=PeerAddress(config.address, config.peer_port),
            incarnation=state.membership.incarnation,
            rng=state.rng,
        )
        self.platform = HttpPlatform(
            url=config.platform_url, timeout_ms=config.platform_timeout_ms
        )
        self.client = RunnerClient()
        self.prober = RunnerProber(
            table=state.table, client=self.client, timers=self.timers
        )
        self.keeper = SettingsReplica(
            objects=self.platform,
            peers=HttpPeerSettings(seal=state.seal),
            has_watch_duty=state.has_watch_duty,
            has_snapshot_duty=state.has_snapshot_duty,
        )
        self._make_slots()
        self._make_claims()
        self._make_fleet()

    async def __aenter__(self) -> Self:
        """Open everything."""
        for part in (
            self.tasks,
            self.timers,
            self.socket,
            self.platform,
            self.client,
            self.keeper,
            self.claim_home,
            self.hosts,
        ):
            await self._stack.enter_async_context(part)
        self._subscribe()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close everything, the last opened first."""
        await self._stack.aclose()

    def apply_hosts(self) -> None:
        """Let every part take a changed view of nodes and runners."""
        moved = self._state.take_hosts()
        self.slot_home.rebuild()
        pools = {entry.runner.pool for entry in self._state.table.entries()}
        self.gossiper.set_pools(pools)
        if moved:
            # New homes know nothing of what already runs until they are told.
            self.tasks.spawn(self.broker.renew(), name="renew_at_new_homes")

    def _make_slots(self) -> None:
        state = self._state
        self.slot_home = SlotHome(
            own_id=state.config.node_id,
            ledger=state.ledger,
            table=state.table,
            homes=state.region_homes,
            mean_load=state.mean_load,
            socket=self.socket,
            timers=self.timers,
        )
        self.broker = SlotBroker(
            membership=state.membership,
            table=state.table,
            rings=state.rings,
            homes=state.region_homes,
            slot_home=self.slot_home,
            socket=self.socket,
            timeout_ms=self._config.slot_timeout_ms,
        )

    def _make_claims(self) -> None:
        state = self._state
        config = self._config
        self.claim_home = ClaimHome(
            objects=self.platform,
            timers=self.timers,
            socket=self.socket,
            shards=config.claim_shards,
            batch_ms=config.claim_batch_ms,
            timeout_ms=config.claim_timeout_ms,
        )
        self.claims = ClaimClient(
            membership=state.membership,
            homes=state.fleet_homes,
            home=self.claim_home,
            socket=self.socket,
            timers=self.timers,
            shards=config.claim_shards,
            timeout_ms=config.claim_timeout_ms,
        )

    def _make_fleet(self) -> None:
        state = self._state
        self.gossiper = Gossiper(
            socket=self.socket,
            membership=state.membership,
            mean_load=state.mean_load,
            settings_version=lambda: self.keeper.log.version,
            on_newer_settings=self.keeper.fetch_newer,
            on_change=self.apply_hosts,
        )
        self.hosts = HostWatcher(
            host_list=self.platform,
            membership=state.membership,
            table=state.table,
            timers=self.timers,
            on_change=self.apply_hosts,
        )

    def _subscribe(self) -> None:
        gossip_ms = self._config.gossip_interval_ms
        plan = (
            ("gossip", gossip_ms, self.gossiper.run_round),
            ("renew", RENEWAL_INTERVAL_MS, self.broker.renew),
            ("expire", EXPIRY_INTERVAL_MS, self.slot_home.expire),
            ("waiting", SERVE_WAITING_INTERVAL_MS, self.slot_home.serve_queues),
            ("probe", PROBE_INTERVAL_MS, self.prober.run_round),
            ("poll", SETTINGS_POLL_MS, self.keeper.poll),
            ("snapshot", SNAPSHOT_INTERVAL_MS, self.keeper.write_snapshot),
        )
        for name, interval_ms, call in plan:
            self.timers.subscribe(name, interval_ms=interval_ms, call=call)
