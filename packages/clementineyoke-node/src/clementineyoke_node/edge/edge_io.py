"""The components of a node on the platform that own sockets, timers and tasks."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

from clementineyoke_core.brittle_pools import BrittlePools
from clementineyoke_core.edge.attempt_timeouts import AttemptTimeouts
from clementineyoke_core.edge.load_cap_share import NO_PROMPT_CAP_SHARE
from clementineyoke_core.edge.peer_reach import PeerReach
from clementineyoke_core.edge.prompt_holders import PromptHolders
from clementineyoke_core.edge.retry_window import RetryWindow
from clementineyoke_core.edge.runner_health import RunnerHealth
from clementineyoke_core.edge.runner_reach import RunnerReach
from clementineyoke_core.edge.store_freshness import StoreAges, StoreFreshness
from clementineyoke_core.load_bound import LoadBound
from clementineyoke_node.edge.admission_control import AdmissionControl
from clementineyoke_node.edge.answer_reader import AnswerReader
from clementineyoke_node.edge.attempt_executor import AttemptExecutor
from clementineyoke_node.edge.crash_archive import CrashArchive
from clementineyoke_node.edge.crash_components import make_crash_tracker
from clementineyoke_node.edge.engine_view import EngineView, PoolMemory
from clementineyoke_node.edge.fault_reports import FaultReports
from clementineyoke_node.edge.fleet_view import FleetView
from clementineyoke_node.edge.forwarder import Forwarder
from clementineyoke_node.edge.leave_check import LeaveCheck
from clementineyoke_node.edge.node_registration import NodeRegistration
from clementineyoke_node.edge.pause_verifier import PauseVerifier
from clementineyoke_node.edge.peer_relay import PeerRelay
from clementineyoke_node.edge.peer_state_exchange import PeerStateExchange
from clementineyoke_node.edge.reach_monitor import ReachMonitor
from clementineyoke_node.edge.reach_witnesses import ReachWitnesses
from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
from clementineyoke_node.edge.runner_signals import RunnerSignals
from clementineyoke_node.edge.scheduled_returns import make_return_policy
from clementineyoke_node.edge.speed_exchange import SpeedExchange
from clementineyoke_node.edge.store_watcher import StoreWatcher
from clementineyoke_node.edge.streams.stream_components import StreamComponents
from clementineyoke_node.edge.token_accounting import TokenAccounting
from clementineyoke_node.edge.update_broadcaster import UpdateBroadcaster
from clementineyoke_node.fleet.gossiper import Gossiper
from clementineyoke_node.fleet.introducer import Introducer
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerSocket
from clementineyoke_node.platform.store_client import StoreClient
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_home import SlotHome
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_node.timers.timer_service import TimerService

if TYPE_CHECKING:
    from clementineyoke_core.edge.desired_state import DesiredState
    from clementineyoke_core.node import Node
    from clementineyoke_core.runner import Runner
    from clementineyoke_node.config.edge_config import EdgeConfig
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_wire.messages import Gossip

MS_PER_S = 1000.0
RENEWAL_INTERVAL_MS = 4_000
EXPIRY_INTERVAL_MS = 1_000
FREQUENT_WORK_INTERVAL_MS = 50
"""Interval for serving calls that wait for a slot and for dropping runners whose
entries were not renewed in time. Each ms adds to the wait of callers, or to the time in
which a leaving runner still gets calls."""
HOUSEKEEPING_INTERVAL_MS = 250
ADMISSION_INTERVAL_MS = 100
"""Interval for reading the pressure of pools and moving the admission levels, which
rise over their full range within 1 s."""
ARCHIVE_INTERVAL_MS = 500
"""How long a newly refused request may be known to the nodes but not to the store."""
STREAM_EXPIRY_INTERVAL_MS = 5_000
REACH_INTERVAL_MS = 250
"""How often a node that reaches no runner of a pool tries to."""
MAX_REPEATED_REPORTS = 16
"""Peers that are reminded each second of the pools that this node cannot reach. The
others learn of it when they forward it a call."""
NODE_CHANGE_DELAY_MS = 20.0
"""Delay that combines changes of the nodes into one update. A home that moves that much
later costs one slot request that goes to the former home."""
NODE_CALLS_KEY = "\0calls"
"""Key under which the calls per second of the nodes are averaged, next to the load of
the pools; no pool has a name that starts with NUL."""
RANDOM_KEY_BITS = 64
QUEUE_SHARE = 1.0
"""Calls that may queue at a runner, as a share of its slots; runners queue four times
as many. Without a queue a slot is idle for a quarter of the time, while its release and
the next grant cross the fleet: two runners with 12 slots and a load of 9 concurrent
calls refused 32 of 100 calls, and 19 with a queue. A queue of twice the length refuses
as many and delays its calls: they took 250 ms instead of 190."""
SLACK_SLOTS = 3
"""Slots that the load bound adds to the multiple of the mean load. With fewer, a single
call decides whether a runner is at its bound when the mean load is two."""


class EdgeIo:
    """Own a node's components, which are opened in the order of their dependencies."""

    def __init__(self, *, config: EdgeConfig, state: NodeState) -> None:
        self._config = config
        self._features = config.overload_features
        self._state = state
        self._stack = AsyncExitStack()
        self._is_apply_scheduled = False
        self.tasks = BackgroundTasks()
        self.timers = TimerService()
        self.leave = LeaveCheck(state=state, timers=self.timers)
        self.byte_limits = config.make_byte_limits(state.metrics)
        self.store = StoreClient(address=config.store, byte_limits=self.byte_limits)
        self.socket = PeerSocket(
            signer=state.signer,
            address=PeerAddress(config.address, config.peer_port),
            incarnation=state.membership.incarnation,
            rng=state.rng,
        )
        self.speed_exchange = self._make_speed_exchange()
        self.brittle_pools = BrittlePools()
        self.signals = RunnerSignals(
            table=state.table,
            timers=self.timers,
            decisions=state.decisions,
            on_draining=self._record_draining,
            brittle_pools=self.brittle_pools,
            on_head=self.speed_exchange.record_head,
        )
        self.runner_reach = RunnerReach()
        self.reach_monitor = ReachMonitor(
            reach=self.runner_reach,
            table=state.table,
            region=config.region,
            tasks=self.tasks,
            timers=self.timers,
            rng=state.rng,
            probe=lambda runner: self.connection_pool.accepts_connection(runner),
            on_change=lambda: self.gossiper.announce(),
            on_repeat=lambda: self.gossiper.announce(max_peers=MAX_REPEATED_REPORTS),
        )
        self.connection_pool = RunnerConnectionPool(
            timers=self.timers,
            signals=self.signals,
            metrics=state.metrics,
            on_connected=self.reach_monitor.record_connected,
            byte_limits=self.byte_limits,
            source_address=config.runner_source_address,
        )
        self.runner_health = RunnerHealth(table=state.table)
        self.view = FleetView(
            table=state.table,
            cold_runners=state.cold_runners,
            timers=self.timers,
            freshness=StoreFreshness(
                bound_ms=min(config.apply_within_ms, config.drain_within_ms)
            ),
            drain_within_ms=config.drain_within_ms,
            follows_evacuations=config.evacuate_within_ms is not None,
            on_runners_changed=self.apply_hosts,
            on_update=lambda changes: self.broadcaster.broadcast(changes),
        )
        self.admission = self._make_admission()
        self.token_accounting = self._make_token_accounting()
        self.returns = make_return_policy(
            features=self._features,
            state=state,
            timers=self.timers,
            fleet_calls_per_s=self.fleet_calls_per_s,
        )
        self.peer_reach = PeerReach(rng=state.rng)
        self.pause_verifier = PauseVerifier(
            table=state.table,
            tasks=self.tasks,
            witnesses=lambda: self.witnesses,
            slot_home=lambda: self.slot_home,
        )
        self._create_slot_components()
        self.witnesses = ReachWitnesses(
            monitor=self.reach_monitor,
            peer_reach=self.peer_reach,
            membership=state.membership,
            table=state.table,
            socket=self.socket,
            tasks=self.tasks,
            timers=self.timers,
            probe=self.connection_pool.accepts_connection,
        )
        self.fault_reports = FaultReports(
            broker=self.broker,
            monitor=self.reach_monitor,
            witnesses=self.witnesses,
            tasks=self.tasks,
            connection_pool=self.connection_pool,
        )
        self.crash_tracker = make_crash_tracker(
            state=state,
            connection_pool=self.connection_pool,
            fault_reports=self.fault_reports,
            socket=self.socket,
            tasks=self.tasks,
            timers=self.timers,
        )
        self.crash_archive = CrashArchive(
            store=self.store,
            crash_tracker=self.crash_tracker,
            timers=self.timers,
            is_watcher=self._is_watcher,
        )
        self.stream_components = StreamComponents(
            state=state,
            store=self.store,
            socket=self.socket,
            timers=self.timers,
            view=self.view,
            connection_pool=self.connection_pool,
            knows_nodes=lambda: self.registration.registered.is_set(),
        )
        self.streams = self.stream_components.registry
        self.pool_versions = self.stream_components.versions
        self._create_fleet_components()
        self.answers = AnswerReader(
            byte_limits=self.byte_limits,
            timers=self.timers,
            is_leaving=lambda: state.membership.is_leaving,
        )
        self.peer_relay = PeerRelay(
            membership=state.membership,
            peer_reach=self.peer_reach,
            signer=state.signer,
            timers=self.timers,
            state_revision=lambda: self.view.state_revision,
            byte_limits=self.byte_limits,
            answers=self.answers,
        )
        self.forwarder = self._make_forwarder()

    async def __aenter__(self) -> Self:
        """Open all components and start the periodic work."""
        for component in (
            self.tasks,
            self.timers,
            self.socket,
            self.store,
            self.connection_pool,
            self.peer_relay,
            self.peers,
            self.store_watcher,
        ):
            await self._stack.enter_async_context(component)
        self._start_timers()
        self.stream_components.start_timers()
        self.tasks.spawn(self.registration.register(), name="enter_roster")
        self.tasks.spawn(
            self.crash_archive.load_after(self.registration.registered),
            name="read_crash_archive",
        )
        self.contact_seeds(self._config.seeds)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all components in reverse order."""
        await self._stack.aclose()

    def apply_hosts(self) -> None:
        """Apply a changed set of nodes or runners to all components."""
        moved = self._state.rebuild_homes()
        self.streams.update_versions()
        self.slot_home.rebuild()
        self.speed_exchange.rebuild()
        self._set_gossip_keys()
        lifetimes = {entry.runner.lifetime for entry in self._state.table.entries()}
        self.runner_health.retain(lifetimes)
        self._state.cold_runners.retain(lifetimes)
        if moved:
            # New homes do not know the slots in use until these are renewed.
            self.tasks.spawn(self.broker.renew(), name="renew_at_new_homes")

    def schedule_apply_hosts(self) -> None:
        """Apply a changed set of nodes to all components, once per burst of changes.

        A starting node discovers its peers one by one within a short time, and so do
        the peers if many start together: with one rebuild for each of 58 peers a node
        answered its first callers late.
        """
        if self._is_apply_scheduled:
            return
        self._is_apply_scheduled = True
        self.tasks.spawn(self._apply_after_delay(), name="apply_nodes")

    def begin_leaving(self) -> None:
        """Announce to the peers at once that this node takes no more callers."""
        self._state.membership.begin_leaving()
        self.apply_hosts()
        self.gossiper.announce()

    def fleet_calls_per_s(self) -> float:
        """Return the calls per second of the region's nodes, from their gossip."""
        return self._state.mean_load.mean(NODE_CALLS_KEY) * self._count_region_nodes()

    def contact_seeds(self, seeds: list[str]) -> None:
        """Send a hello to each configured seed node, and fetch newer state from it."""
        for seed in seeds:
            address = seed.partition(":")[0]
            if address != self._config.address:
                self.introducer.send_hello(PeerAddress(address, self._config.peer_port))
                self.peers.fetch(seed)

    def _make_admission(self) -> AdmissionControl:
        state = self._state
        return AdmissionControl(
            ledger=state.ledger,
            table=state.table,
            mean_load=state.mean_load,
            metrics=state.metrics,
            rng=state.rng,
            read_state=self._read_desired_state,
            queue_share=QUEUE_SHARE,
            is_enabled=self._features.priority_admission,
        )

    def _read_desired_state(self) -> DesiredState | None:
        return None if self.view.routes is None else self.view.routes.state

    def _make_speed_exchange(self) -> SpeedExchange:
        state = self._state
        return SpeedExchange(
            is_enabled=self._features.speed_weighting,
            membership=state.membership,
            table=state.table,
            homes=state.region_homes,
            mean_load=state.mean_load,
            socket=self.socket,
            timers=self.timers,
            metrics=state.metrics,
            on_reporting_pools=self._set_gossip_keys,
        )

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
            cold_runners=state.cold_runners,
            brittle_pools=self.brittle_pools,
            load_bound=LoadBound(
                factor=NO_PROMPT_CAP_SHARE * self._config.cap_factor,
                slack_slots=SLACK_SLOTS,
                queue_share=QUEUE_SHARE,
            ),
            extra_rules=(
                *self.admission.rules,
                *self.token_accounting.rules,
                *self.speed_exchange.rules,
                *self.returns.grant_rules,
            ),
            prefill_tokens=self.token_accounting.prefill_tokens,
            load_weight=self.speed_exchange.load_weight,
            on_pause=lambda reason: state.metrics.runner_pauses.inc({"reason": reason}),
            on_unreachable=self.pause_verifier.verify,
            on_response_time=self.speed_exchange.record_response_time,
        )
        self.broker = SlotBroker(
            membership=state.membership,
            table=state.table,
            rings=state.rings,
            homes=state.region_homes,
            slot_home=self.slot_home,
            socket=self.socket,
            timeout_ms=self._config.slot_timeout_ms,
            is_limited=self._is_limited,
            rejection_limit=self._rejection_limit,
            is_short=self.admission.is_short,
        )

    def _create_fleet_components(self) -> None:
        state = self._state
        self.peers = PeerStateExchange(
            view=self.view,
            crash_tracker=self.crash_tracker,
            pool_versions=self.pool_versions,
            timers=self.timers,
            signer=state.signer,
            byte_limits=self.byte_limits,
        )
        self.introducer = Introducer(
            socket=self.socket,
            membership=state.membership,
            on_change=self.schedule_apply_hosts,
        )
        self.gossiper = Gossiper(
            socket=self.socket,
            membership=state.membership,
            mean_load=state.mean_load,
            settings_version=lambda: self.view.state_revision,
            on_newer_settings=self._fetch_newer,
            on_change=self.schedule_apply_hosts,
            runners_version=lambda: self.view.runners_revision,
            on_newer_runners=self._fetch_newer,
            on_unknown_peer=self.introducer.send_hello,
            store_ages=self.view.ages,
            on_gossip=self._handle_gossip,
            crash_notes=self.crash_tracker.next_gossip_notes,
            evacuations_version=lambda: self.view.evacuations.version,
            unreachable_pools=self.reach_monitor.unreachable_pool_hashes,
        )
        self.broadcaster = UpdateBroadcaster(
            socket=self.socket,
            membership=state.membership,
            view=self.view,
            on_newer_revision=self._fetch_newer,
        )
        self.registration = NodeRegistration(
            store=self.store,
            introducer=self.introducer,
            local_node=state.membership.local_node,
            apply_nodes=self.apply_hosts,
        )
        self.store_watcher = StoreWatcher(
            store=self.store,
            view=self.view,
            broadcaster=self.broadcaster,
            region=self._config.region,
            rng=state.rng,
            is_watcher=self._is_watcher,
            count_watchers=state.count_watchers,
            registered=self.registration.registered,
            heartbeat_ms=self._config.heartbeat_ms,
            apply_within_ms=self._config.apply_within_ms,
            evacuate_within_ms=self._config.evacuate_within_ms,
        )

    def _make_forwarder(self) -> Forwarder:
        config, state = self._config, self._state
        attempts = AttemptExecutor(
            fault_reports=self.fault_reports,
            connection_pool=self.connection_pool,
            rings=state.rings,
            table=state.table,
            timeouts=AttemptTimeouts(),
            prompt_holders=PromptHolders(),
            timers=self.timers,
            decisions=state.decisions,
            leave=self.leave,
            token_accounting=self.token_accounting,
            metrics=state.metrics,
            streams=self.streams,
            answers=self.answers,
        )
        return Forwarder(
            broker=self.broker,
            attempt_executor=attempts,
            health=self.runner_health,
            crash_tracker=self.crash_tracker,
            retry_window=RetryWindow(
                ratio=config.retry_ratio,
                allowance=config.retry_allowance,
                window_ms=config.retry_window_s * MS_PER_S,
            ),
            timers=self.timers,
            decisions=state.decisions,
            metrics=state.metrics,
            count_nodes=lambda: len(state.membership.alive()),
            random_key=lambda: state.rng.getrandbits(RANDOM_KEY_BITS),
            cap_factor=config.cap_factor,
            token_accounting=self.token_accounting,
            describes_calls=self._describes_calls,
            admission=self.admission,
            compare_time=self.speed_exchange.compare_time,
            returns=self.returns,
            reach=self.runner_reach,
            reach_monitor=self.reach_monitor,
            peer_relay=self.peer_relay,
            fault_reports=self.fault_reports,
            streams=self.streams,
        )

    def _make_token_accounting(self) -> TokenAccounting:
        self._pool_memory = PoolMemory(state=self._read_desired_state)
        engines = EngineView(
            table=self._state.table,
            rings=self._state.rings,
            memory=self._pool_memory,
            is_active=self._accounts_tokens,
        )
        return TokenAccounting(
            engines=engines,
            timers=self.timers,
            decisions=self._state.decisions,
            mean_load=self._state.mean_load,
            count_nodes=self._count_region_nodes,
        )

    def _count_region_nodes(self) -> int:
        return len(self._state.membership.confirmed_alive(region=self._config.region))

    def _accounts_tokens(self, pool: str) -> bool:
        """Return whether slots of a pool depend on the tokens of its calls."""
        features = self._features
        return (
            features.token_reservations
            and self._pool_memory.tokens(pool) > 0
            and (features.priority_admission or self.speed_exchange.has_reports(pool))
        )

    def _describes_calls(self, pool: str) -> bool:
        """Return whether a rule of the pool's homes needs the urgency or size of calls.

        The rules on tokens apply under the same conditions.
        """
        has_reports = self.speed_exchange.has_reports(pool)
        return self._features.priority_admission or has_reports

    def _is_watcher(self) -> bool:
        return self.registration.registered.is_set() and self._state.is_watcher()

    def _fetch_newer(self, node: Node, version: int = 0) -> None:
        self.peers.fetch(
            f"{node.address}:{self._config.control_port}",
            is_zone_notified=node.availability_zone == self._config.availability_zone,
        )

    def _is_limited(self, runner: Runner) -> bool:
        """Return whether only a runner's home knows how many calls it can take now."""
        now_ms = self.timers.now_ms()
        is_brittle = self.brittle_pools.limit(runner.pool, now_ms=now_ms) is not None
        return is_brittle or self._is_cold(runner)

    def _is_cold(self, runner: Runner) -> bool:
        now_ms = self.timers.now_ms()
        return self._state.cold_runners.calls_per_s(runner, now_ms=now_ms) is not None

    def _rejection_limit(self, pool: str) -> int | None:
        return self.brittle_pools.answered_limit(pool, now_ms=self.timers.now_ms())

    def _record_draining(self, runner: Runner) -> bool:
        """Record that a runner drains; return whether that was unknown.

        The runner's home is notified, and then refuses slots on the runner to nodes of
        any zone that do not know of the drain yet.
        """
        changes = self.view.record_draining(runner)
        if changes is None:
            return False
        home_id = self._state.region_homes.home_of(runner.runner_id)
        home = None if home_id is None else self._state.membership.node(home_id)
        if home is not None:
            self.broadcaster.send_to(home, changes)
        return True

    def _set_gossip_keys(self) -> None:
        keys = {entry.runner.pool for entry in self._state.table.entries()}
        keys |= self.token_accounting.gossip_keys(keys)
        keys.update(self.speed_exchange.gossip_keys(), self.returns.apply_hosts())
        self.admission.update_pools()
        keys |= self.admission.gossip_keys()
        self.gossiper.set_pools({*keys, NODE_CALLS_KEY})

    def _handle_gossip(self, node: Node, gossip: Gossip) -> None:
        if node.region == self._config.region:
            self.admission.record_exchange(now_ms=self.timers.now_ms())
        self.peer_reach.record_report(
            node.node_id, gossip.unreachable_pools, now_ms=self.timers.now_ms()
        )
        self.crash_tracker.merge_notes(gossip.crashes)
        self.speed_exchange.record_gossip(gossip)
        self.returns.record_gossip(gossip)
        if gossip.evacuations_version > self.view.evacuations.view.revision:
            self._fetch_newer(node)
        elif not self.pool_versions.has_history:
            # The store told this node its state, but not which versions have gone.
            self._fetch_newer(node)
        self.view.adopt_ages(
            StoreAges(
                gossip.state_age_ms, gossip.runners_age_ms, gossip.evacuations_age_ms
            ),
            state_revision=gossip.settings_version,
            runners_revision=gossip.runners_version,
            evacuations_version=gossip.evacuations_version,
        )

    async def _apply_after_delay(self) -> None:
        await asyncio.sleep(NODE_CHANGE_DELAY_MS / MS_PER_S)
        self._is_apply_scheduled = False
        self.apply_hosts()

    async def _run_frequent_work(self) -> None:
        self._state.table.end_expired_backoffs(now_ms=self.timers.now_ms())
        self.speed_exchange.refresh()
        await self.slot_home.serve_queues()
        await self.view.drop_lapsed()

    async def _run_admission(self) -> None:
        self.admission.update(self.slot_home.demands(), now_ms=self.timers.now_ms())

    async def _run_housekeeping(self) -> None:
        if self.admission.update_pools():
            self._set_gossip_keys()
        rate_per_s = self._state.call_rate.per_s(now_ms=self.timers.now_ms())
        self._state.mean_load.set_local(NODE_CALLS_KEY, load=rate_per_s, runners=1)
        self.returns.publish()
        self._state.table.end_expired_quarantines(now_ms=self.timers.now_ms())
        self.crash_tracker.drop_expired()
        self.peer_reach.drop_expired(now_ms=self.timers.now_ms())
        self.token_accounting.update(self.slot_home.loads())
        self.speed_exchange.run_housekeeping()

    def _start_timers(self) -> None:
        gossip_ms = self._config.gossip_interval_ms
        schedule = (
            ("gossip", gossip_ms, self.gossiper.run_round),
            ("renew", RENEWAL_INTERVAL_MS, self.broker.renew),
            ("expire", EXPIRY_INTERVAL_MS, self.slot_home.expire),
            ("prompt", FREQUENT_WORK_INTERVAL_MS, self._run_frequent_work),
            ("house", HOUSEKEEPING_INTERVAL_MS, self._run_housekeeping),
            ("reach", REACH_INTERVAL_MS, self.reach_monitor.run_round),
            ("archive", ARCHIVE_INTERVAL_MS, self.crash_archive.run_round),
            ("streams", STREAM_EXPIRY_INTERVAL_MS, self.streams.drop_expired),
        )
        for name, interval_ms, call in schedule:
            self.timers.subscribe(name, interval_ms=interval_ms, callback=call)
        if self.admission.is_enabled:
            self.timers.subscribe(
                "admission",
                interval_ms=ADMISSION_INTERVAL_MS,
                callback=self._run_admission,
            )
