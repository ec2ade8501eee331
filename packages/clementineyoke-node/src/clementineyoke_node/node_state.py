"""The state of one node: decisions of the core, put together, without any I/O."""

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
from clementineyoke_wire.seal import Seal

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_node.config.node_place import NodePlace

WATCHERS_A_ZONE = 2
MANY_ZONES = 4
"""From this many zones on, one watcher a zone: each change is a call of every watcher,
and a zone whose only one is cut off hears of changes by gossip from the others."""
SNAPSHOT_DUTY = "settings snapshot"
MS_PER_S = 1000


class NodeState:
    """Own what a node believes and counts."""

    def __init__(self, *, config: NodePlace) -> None:
        self.config = config
        own = Node(
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
            local_node=own, incarnation=incarnation, rng=self.rng
        )
        self.table = RunnerTable()
        self.cold = ColdRunners()
        self.rings = PoolRings(table=self.table, region=config.region)
        self.region_homes = RunnerHomes()
        """Homes of runners: in the region, where an answer takes a millisecond."""
        self.fleet_homes = HomeNodes()
        """Homes of budgets and claims, which are the same for all regions.

        With a home in each region a team would get its rate once a region, and the
        homes of one claim shard would refuse each other's writes.
        """
        self.mean_load = MeanLoadEstimator()
        self.call_rate = CallRate()
        self.ledger = SlotLedger()
        self.seal = Seal(keys=config.peer_keys)
        self.decisions = DecisionRing()
        self.metrics = Metrics()
        self.in_flight = InFlight(max_requests=config.max_requests)
        self._watchers = choose_watchers(self.membership.alive())
        """Worked out anew when hosts change: at 410 nodes it takes 0.25 ms, and it is
        asked for some forty times a second."""

    def take_hosts(self) -> bool:
        """Work out rings and homes anew; return whether runners' homes moved."""
        self.rings.rebuild()
        self._watchers = choose_watchers(self.membership.alive())
        self.fleet_homes.set_nodes(self._alive_ids(region=None))
        return self.region_homes.reassign(
            nodes=self._alive_ids(region=self.config.region),
            pools=self.table.by_pool(region=self.config.region),
        )

    def has_watch_duty(self) -> bool:
        """Whether this node is one of its zone's watchers of the platform."""
        return self.config.node_id in self._watchers

    def count_watchers(self) -> int:
        """Return how many nodes of the fleet watch the platform."""
        return len(self._watchers)

    def has_snapshot_duty(self) -> bool:
        """Whether this node is to write snapshots of settings."""
        return self.fleet_homes.home_of(SNAPSHOT_DUTY) == self.config.node_id

    def _alive_ids(self, *, region: str | None) -> list[str]:
        return [node.node_id for node in self.membership.alive(region=region)]


def choose_watchers(nodes: Iterable[Node]) -> set[str]:
    """Return who watches the store: each zone's strongest hosts, which tell it."""
    zones: dict[str, list[Node]] = {}
    for node in nodes:
        zones.setdefault(node.availability_zone, []).append(node)
    wanted = 1 if len(zones) >= MANY_ZONES else WATCHERS_A_ZONE
    return {
        node.node_id
        for zone_nodes in zones.values()
        for node in sorted(zone_nodes, key=_by_strength)[:wanted]
    }


def _by_strength(node: Node) -> tuple[int, str]:
    return -node.calls_per_s, node.node_id
