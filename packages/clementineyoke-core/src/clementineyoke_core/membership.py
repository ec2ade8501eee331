"""Each node's view of the fleet: the host list, corrected by probes and rumours."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.membership_update import MembershipUpdate, NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from clementineyoke_core.node import Node

MISSES_UNTIL_DOWN = 3
RUMOURS_A_MESSAGE = 12
"""When a zone's nodes die together the news of each has to get round within seconds.
With few a message it waits for the others'; twelve take some 400 bytes."""
RUMOUR_SPREAD_FACTOR = 3


class Membership:
    """Hold nodes and the newest rumour of each.

    The list lags, so a dead node stays on it: seen as slot asks that time out. A node
    that misses probes is rumoured down at its incarnation. A node that hears this of
    itself outbids it with a higher incarnation, so a false alarm heals.
    """

    def __init__(self, *, local_node: Node, incarnation: int, rng: Random) -> None:
        self._own = local_node
        self.initial_incarnation = incarnation
        """The incarnation that this process began with; no other process had it."""
        self._rng = rng
        self._nodes: dict[str, Node] = {local_node.node_id: local_node}
        self._newest: dict[str, MembershipUpdate] = {
            local_node.node_id: MembershipUpdate(
                local_node.node_id, incarnation, NodeState.ALIVE
            )
        }
        self._listed_leaving: set[str] = set()
        self._misses: dict[str, int] = {}
        self._sends_left: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._by_address: dict[tuple[str, int], Node] = {}
        self._heard: set[str] = set()

    @property
    def local_node(self) -> Node:
        """The node that holds this view."""
        return self._own

    @property
    def incarnation(self) -> int:
        """The own incarnation; grows when it refutes a rumour."""
        return self._newest[self._own.node_id].incarnation

    def apply_host_list(self, *, live: Iterable[Node], leaving: Iterable[Node]) -> None:
        """Take a new host list; nodes that are not on it are forgotten."""
        nodes = {node.node_id: node for node in live}
        going = {node.node_id: node for node in leaving}
        nodes.update(going)
        nodes[self._own.node_id] = self._own
        self._nodes = nodes
        self._listed_leaving = set(going)
        self._by_address = {
            (node.address, node.peer_port): node for node in nodes.values()
        }
        for node_id in self._newest.keys() - nodes.keys():
            del self._newest[node_id]
            self._misses.pop(node_id, None)
            self._sends_left.pop(node_id, None)

    def add(self, node: Node) -> bool:
        """Take a node that made itself known; return whether it is new or moved."""
        known = self._nodes.get(node.node_id)
        if known == node:
            return False
        if known is not None:
            self._by_address.pop((known.address, known.peer_port), None)
        self._nodes[node.node_id] = node
        self._by_address[node.address, node.peer_port] = node
        return True

    def has_heard(self, node_id: str) -> bool:
        """Return whether a node has ever been heard of by its own messages."""
        return node_id == self._own.node_id or node_id in self._heard

    def node(self, node_id: str) -> Node | None:
        """Return a listed node."""
        return self._nodes.get(node_id)

    def nodes(self) -> list[Node]:
        """Return every listed node, whatever its state."""
        return list(self._nodes.values())

    def node_at(self, address: str, peer_port: int) -> Node | None:
        """Return the listed node that sends from an address."""
        return self._by_address.get((address, peer_port))

    def state(self, node_id: str) -> NodeState:
        """Return the state believed of a listed node."""
        if node_id in self._listed_leaving:
            return NodeState.LEAVING
        return self._rumour_of(node_id).state

    def alive(self, *, region: str | None = None) -> list[Node]:
        """Return the nodes that may get work, of one region or of all."""
        return [
            node
            for node in self._nodes.values()
            if self.state(node.node_id) is NodeState.ALIVE
            and region in (None, node.region)
        ]

    def confirmed_alive(self, *, region: str | None = None) -> list[Node]:
        """Return the nodes alive that have made themselves heard, the own among them.

        Nodes that were read of may not be up: after a loss of power the list is whole
        long before the fleet is.
        """
        return [
            node for node in self.alive(region=region) if self.has_heard(node.node_id)
        ]

    def sample(self, max_nodes: int) -> list[Node]:
        """Return some other nodes alive, drawn at random."""
        others = [node for node in self.alive() if node != self._own]
        return self._rng.sample(others, min(max_nodes, len(others)))

    def apply_update(self, update: MembershipUpdate) -> bool:
        """Take a rumour; return whether the view of that node changed."""
        if update.node_id == self._own.node_id:
            return self._refute(update)
        known = self._rumour_of(update.node_id)
        if not update.beats(known):
            return False
        self._newest[update.node_id] = update
        if update.state is not NodeState.ALIVE or known.state is not NodeState.ALIVE:
            # That a node lives is no news to whoever believes so. Told all the same it
            # fills the messages for the first minute of a fleet, in which each node
            # meets all others, and the news of a dead one waits behind it.
            self._spread(update.node_id)
        return update.state is not known.state

    def record_message(self, node_id: str, *, incarnation: int) -> bool:
        """Note a message from a node; return whether it was believed down."""
        self._misses.pop(node_id, None)
        self._heard.add(node_id)
        return self.apply_update(
            MembershipUpdate(node_id, incarnation, NodeState.ALIVE)
        )

    def suspect(self, node_id: str) -> None:
        """Note that a node left other traffic unanswered: it is probed next.

        Counted as a missed probe it would let a pause of 50 ms take a node out; not
        noted at all, a dead home is found only when its turn to be probed comes.
        """
        if self.state(node_id) is NodeState.ALIVE:
            self._misses.setdefault(node_id, 0)

    def record_missed_probe(self, node_id: str) -> bool:
        """Note an unanswered probe; return whether the node is now believed down."""
        if self.state(node_id) is not NodeState.ALIVE:
            return False
        misses = self._misses.get(node_id, 0) + 1
        self._misses[node_id] = misses
        if misses < MISSES_UNTIL_DOWN:
            return False
        known = self._rumour_of(node_id)
        return self.apply_update(
            MembershipUpdate(node_id, known.incarnation, NodeState.DOWN)
        )

    @property
    def is_leaving(self) -> bool:
        """Return whether this node has told the others that it leaves."""
        return self.state(self._own.node_id) is NodeState.LEAVING

    def begin_leaving(self) -> None:
        """Tell the others that this node is leaving."""
        own_id = self._own.node_id
        rumour = MembershipUpdate(own_id, self.incarnation + 1, NodeState.LEAVING)
        self._newest[own_id] = rumour
        self._spread(own_id)

    def next_probe(self) -> Node | None:
        """Return the next node to probe: a suspect first, else by shuffled turns."""
        for node_id in self._misses:
            if node_id in self._nodes and self.state(node_id) is NodeState.ALIVE:
                return self._nodes[node_id]
        while True:
            if not self._probe_order:
                self._probe_order = [n for n in self._nodes if n != self._own.node_id]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            node = self._nodes.get(self._probe_order.pop())
            if node is not None:
                return node

    def updates_to_send(self, *, receiver: str) -> list[MembershipUpdate]:
        """Return the least-told rumours, each told a bounded number of times.

        A receiver that is believed down or leaving is always told so: after a
        partition, or a restart with its clock set back, the rumour has long been told
        enough, and nobody else would let it refute.
        """
        least_told = sorted(
            self._sends_left, key=lambda node_id: -self._sends_left[node_id]
        )
        chosen = least_told[:RUMOURS_A_MESSAGE]
        for node_id in chosen:
            self._sends_left[node_id] -= 1
            if self._sends_left[node_id] <= 0:
                del self._sends_left[node_id]
        if self.state(receiver) is not NodeState.ALIVE and receiver not in chosen:
            chosen.append(receiver)
        if self.is_leaving and self._own.node_id not in chosen:
            # Whoever does not hear of it goes on naming this node to callers.
            chosen.append(self._own.node_id)
        return [self._rumour_of(node_id) for node_id in chosen]

    def _refute(self, rumour: MembershipUpdate) -> bool:
        own = self._newest[self._own.node_id]
        if own.state is NodeState.ALIVE and rumour.beats(own):
            self._newest[own.node_id] = own._replace(incarnation=rumour.incarnation + 1)
            self._spread(own.node_id)
        return False

    def _spread(self, node_id: str) -> None:
        rounds = math.ceil(math.log2(len(self._nodes) + 1))
        self._sends_left[node_id] = RUMOUR_SPREAD_FACTOR * rounds

    def _rumour_of(self, node_id: str) -> MembershipUpdate:
        return self._newest.get(node_id, MembershipUpdate(node_id, 0, NodeState.ALIVE))
