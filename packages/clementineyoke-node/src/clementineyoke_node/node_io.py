"""The components of a node that own sockets, connections, timers and tasks."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from clementineyoke_node.bounds.byte_limits import (
    DEFAULT_MAX_ANSWER_BYTES,
    DEFAULT_MAX_HELD_BYTES,
    ByteLimits,
)
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
QUEUE_INTERVAL_MS = 50
PROBE_INTERVAL_MS = 250
SETTINGS_POLL_INTERVAL_MS = 30_000
SNAPSHOT_INTERVAL_MS = 10_000


class NodeIo:
    """Own the components and open them in the order of their dependencies."""

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
            signer=state.signer,
            address=PeerAddress(config.address, config.peer_port),
            incarnation=state.membership.incarnation,
            rng=state.rng,
        )
        byte_limits = ByteLimits(
            max_answer_bytes=DEFAULT_MAX_ANSWER_BYTES,
            max_held_bytes=DEFAULT_MAX_HELD_BYTES,
            metrics=state.metrics,
        )
        self.platform = HttpPlatform(
            url=config.platform_url,
            timeout_ms=config.platform_timeout_ms,
            byte_limits=byte_limits,
        )
        self.client = RunnerClient(byte_limits=byte_limits)
        self.prober = RunnerProber(
            table=state.table, client=self.client, timers=self.timers
        )
        self.settings = SettingsReplica(
            objects=self.platform,
            peers=HttpPeerSettings(signer=state.signer),
            is_watcher=state.is_watcher,
            is_snapshot_writer=state.is_snapshot_writer,
        )
        self._create_slot_components()
        self._create_claim_components()
        self._create_fleet_components()

    async def __aenter__(self) -> Self:
        """Open all components and start the periodic work."""
        for component in (
            self.tasks,
            self.timers,
            self.socket,
            self.platform,
            self.client,
            self.settings,
            self.claim_home,
            self.host_watcher,
        ):
            await self._stack.enter_async_context(component)
        self._start_timers()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all components in reverse order."""
        await self._stack.aclose()

    def apply_hosts(self) -> None:
        """Update all components after nodes or runners have changed."""
        homes_changed = self._state.rebuild_homes()
        self.slot_home.rebuild()
        pools = {entry.runner.pool for entry in self._state.table.entries()}
        self.gossiper.set_pools(pools)
        if homes_changed:
            # New home nodes learn of the slots in use only from renewals.
            self.tasks.spawn(self.broker.renew(), name="renew_at_new_homes")

    def _create_slot_components(self) -> None:
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

    def _create_claim_components(self) -> None:
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

    def _create_fleet_components(self) -> None:
        state = self._state
        self.gossiper = Gossiper(
            socket=self.socket,
            membership=state.membership,
            mean_load=state.mean_load,
            settings_version=lambda: self.settings.log.version,
            on_newer_settings=self.settings.fetch_newer,
            on_change=self.apply_hosts,
        )
        self.host_watcher = HostWatcher(
            host_list=self.platform,
            membership=state.membership,
            table=state.table,
            timers=self.timers,
            on_change=self.apply_hosts,
        )

    def _start_timers(self) -> None:
        gossip_ms = self._config.gossip_interval_ms
        schedule = (
            ("gossip", gossip_ms, self.gossiper.run_round),
            ("renew", RENEWAL_INTERVAL_MS, self.broker.renew),
            ("expire", EXPIRY_INTERVAL_MS, self.slot_home.expire),
            ("waiting", QUEUE_INTERVAL_MS, self.slot_home.serve_queues),
            ("probe", PROBE_INTERVAL_MS, self.prober.run_round),
            ("poll", SETTINGS_POLL_INTERVAL_MS, self.settings.poll),
            ("snapshot", SNAPSHOT_INTERVAL_MS, self.settings.write_snapshot),
        )
        for name, interval_ms, callback in schedule:
            self.timers.subscribe(name, interval_ms=interval_ms, callback=callback)
