"""The state of one node, composed of types of the core; performs no I/O."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from clementineyoke_core.cold_runners import ColdRunners
from clementineyoke_core.edge.call_rate import CallRate
from clementineyoke_core.home_nodes import HomeNodes
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotLedger
from clementineyoke_node.callers.decision_ring import DecisionRing
from clementineyoke_node.callers.in_flight import InFlight
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_wire.message_signer import MessageSigner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_node.config.common_node_config import CommonNodeConfig

WATCHERS_PER_ZONE = 2
MIN_ZONES_FOR_SINGLE_WATCHERS = 4
"""Number of zones from which one watcher per zone suffices.

Each change costs one store call per watcher. A zone whose only watcher cannot reach the
store receives changes by gossip from the other zones.
"""
SNAPSHOT_WRITER_KEY = "settings snapshot"
MS_PER_S = 1000


class NodeState:
    """Own a node's view of the fleet, its counters and its metrics."""

    def __init__(self, *, config: CommonNodeConfig) -> None:
        self.config = config
        local_node = Node(
            config.node_id,
            config.address,
            config.caller_port,
            config.peer_port,
            config.availability_zone,
            config.region,
            config.calls_per_s,
        )
        incarnation = TimerService.wall_ms() // MS_PER_S
        self.rng = Random()
        self.membership = Membership(
            local_node=local_node, incarnation=incarnation, rng=self.rng
        )
        self.table = RunnerTable()
        self.cold_runners = ColdRunners()
        self.rings = PoolRings(table=self.table, region=config.region)
        self.region_homes = RunnerHomes()
        """Home nodes of runners; within the region a response takes a millisecond."""
        self.fleet_homes = HomeNodes()
        """Home nodes of budgets and claims, the same for all regions.

        With one home node per region, a team would get its rate once in each region,
        and claim writes of the home nodes of one shard would conflict.
        """
        self.stream_homes = HomeNodes()
        """Nodes of the region that remember which version began a stream."""
        self.mean_load = MeanLoadEstimator()
        self.call_rate = CallRate()
        self.ledger = SlotLedger()
        self.signer = MessageSigner(keys=config.peer_keys)
        self.decisions = DecisionRing()
        self.metrics = Metrics()
        self.in_flight = InFlight(max_requests=config.max_requests)
        self._watchers = choose_watchers(self.membership.alive())
        """Computed when hosts change: it takes 0.25 ms at 410 nodes and is read about
        forty times a second."""

    def rebuild_homes(self) -> bool:
        """Rebuild rings and home nodes; return whether a runner's home node changed."""
        self.rings.rebuild()
        self._watchers = choose_watchers(self.membership.alive())
        self.fleet_homes.set_nodes(self._alive_ids(region=None))
        region_ids = self._alive_ids(region=self.config.region)
        self.stream_homes.set_nodes(region_ids)
        return self.region_homes.reassign(
            nodes=region_ids,
            pools=self.table.by_pool(region=self.config.region),
        )

    def is_watcher(self) -> bool:
        """Return whether this node watches the platform for its zone."""
        return self.config.node_id in self._watchers

    def count_watchers(self) -> int:
        """Return the number of nodes that watch the platform."""
        return len(self._watchers)

    def is_snapshot_writer(self) -> bool:
        """Return whether this node writes the snapshots of settings."""
        return self.fleet_homes.home_of(SNAPSHOT_WRITER_KEY) == self.config.node_id

    def _alive_ids(self, *, region: str | None) -> list[str]:
        return [node.node_id for node in self.membership.alive(region=region)]


def choose_watchers(nodes: Iterable[Node]) -> set[str]:
    """Return the ids of the nodes that watch the store for the others.

    These are the nodes with the highest capacity in each zone.
    """
    zones: dict[str, list[Node]] = {}
    for node in nodes:
        zones.setdefault(node.availability_zone, []).append(node)
    watcher_count = (
        1 if len(zones) >= MIN_ZONES_FOR_SINGLE_WATCHERS else WATCHERS_PER_ZONE
    )
    return {
        node.node_id
        for zone_nodes in zones.values()
        for node in sorted(zone_nodes, key=_capacity_order)[:watcher_count]
    }


def _capacity_order(node: Node) -> tuple[int, str]:
    return -node.calls_per_s, node.node_id
