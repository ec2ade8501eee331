"""Each node's view of the fleet: the host list, corrected by probes and gossip."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.membership_update import MembershipUpdate, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from clementineyoke_core.node import Node

MAX_MISSED_PROBES = 3
"""Consecutive missed probes after which a node is considered down."""
MAX_UPDATES_PER_MESSAGE = 12
"""When a zone's nodes die together, the updates on all of them must spread within
seconds; with few updates per message they wait for each other. Twelve take some 400
bytes."""
RETRANSMIT_FACTOR = 3
"""Sends per update, as a multiple of the rounds needed to reach all nodes."""


class Membership:
    """Hold the known nodes and the newest membership update of each (as in SWIM).

    The host list lags behind, so a dead node stays on it and requests to it time out. A
    node that misses probes is declared down at its incarnation. A live node that
    receives this update refutes it with a higher incarnation, so a false alarm does not
    last.
    """

    def __init__(self, *, local_node: Node, incarnation: int, rng: Random) -> None:
        self._local_node = local_node
        self.initial_incarnation = incarnation
        """Incarnation at the start of this process; unique to this process."""
        self._rng = rng
        self._nodes: dict[str, Node] = {local_node.node_id: local_node}
        self._updates: dict[str, MembershipUpdate] = {
            local_node.node_id: MembershipUpdate(
                local_node.node_id, incarnation, MemberState.ALIVE
            )
        }
        self._listed_leaving: set[str] = set()
        self._missed_probes: dict[str, int] = {}
        """Missed probes by node; 0 for a node that is suspected and probed next."""
        self._sends_left: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._by_address: dict[tuple[str, int], Node] = {}
        self._contacted: set[str] = set()

    @property
    def local_node(self) -> Node:
        """The node that holds this view."""
        return self._local_node

    @property
    def incarnation(self) -> int:
        """Incarnation of the local node; increases when it refutes an update."""
        return self._updates[self._local_node.node_id].incarnation

    def apply_host_list(self, *, live: Iterable[Node], leaving: Iterable[Node]) -> None:
        """Apply a new host list; nodes that are not on it are removed."""
        nodes = {node.node_id: node for node in live}
        leaving_nodes = {node.node_id: node for node in leaving}
        nodes.update(leaving_nodes)
        nodes[self._local_node.node_id] = self._local_node
        self._nodes = nodes
        self._listed_leaving = set(leaving_nodes)
        self._by_address = {
            (node.address, node.peer_port): node for node in nodes.values()
        }
        for node_id in self._updates.keys() - nodes.keys():
            del self._updates[node_id]
            self._missed_probes.pop(node_id, None)
            self._sends_left.pop(node_id, None)

    def add(self, node: Node) -> bool:
        """Add a node from its hello or from the store, or replace its known data.

        Return whether the node is new or changed.
        """
        known = self._nodes.get(node.node_id)
        if known == node:
            return False
        if known is not None:
            self._by_address.pop((known.address, known.peer_port), None)
        self._nodes[node.node_id] = node
        self._by_address[node.address, node.peer_port] = node
        return True

    def has_contacted(self, node_id: str) -> bool:
        """Return whether a message from a node has ever arrived."""
        return node_id == self._local_node.node_id or node_id in self._contacted

    def node(self, node_id: str) -> Node | None:
        """Return a known node, or None."""
        return self._nodes.get(node_id)

    def nodes(self) -> list[Node]:
        """Return every known node, whatever its state."""
        return list(self._nodes.values())

    def node_at(self, address: str, peer_port: int) -> Node | None:
        """Return the known node that sends from an address, or None."""
        return self._by_address.get((address, peer_port))

    def state(self, node_id: str) -> MemberState:
        """Return a node's state in this view."""
        if node_id in self._listed_leaving:
            return MemberState.LEAVING
        return self._update_of(node_id).state

    def alive(self, *, region: str | None = None) -> list[Node]:
        """Return the nodes that may get work, of one region or of all."""
        return [
            node
            for node in self._nodes.values()
            if self.state(node.node_id) is MemberState.ALIVE
            and region in (None, node.region)
        ]

    def confirmed_alive(self, *, region: str | None = None) -> list[Node]:
        """Return the alive nodes that have sent a message, and the local node.

        Nodes known only from the host list may not be up: after a power failure the
        list is complete long before the fleet is.
        """
        return [
            node
            for node in self.alive(region=region)
            if self.has_contacted(node.node_id)
        ]

    def sample(self, max_nodes: int) -> list[Node]:
        """Return a random selection of other alive nodes."""
        others = [node for node in self.alive() if node != self._local_node]
        return self._rng.sample(others, min(max_nodes, len(others)))

    def apply_update(self, update: MembershipUpdate) -> bool:
        """Apply an update; return whether the state of its node changed."""
        if update.node_id == self._local_node.node_id:
            return self._refute(update)
        known = self._update_of(update.node_id)
        if not update.supersedes(known):
            return False
        self._updates[update.node_id] = update
        if (
            update.state is not MemberState.ALIVE
            or known.state is not MemberState.ALIVE
        ):
            # An update from alive to alive is not spread: in a fleet's first minute,
            # when each node meets all others, such updates would fill the messages and
            # delay those on dead nodes.
            self._spread(update.node_id)
        return update.state is not known.state

    def record_message(self, node_id: str, *, incarnation: int) -> bool:
        """Record a message from a node; return whether that changed its state."""
        self._missed_probes.pop(node_id, None)
        self._contacted.add(node_id)
        return self.apply_update(
            MembershipUpdate(node_id, incarnation, MemberState.ALIVE)
        )

    def suspect(self, node_id: str) -> None:
        """Probe next a node that left another request unanswered.

        Counting it as a missed probe would let a pause of 50 ms take a node out of the
        fleet. Without it, a dead home is detected only when its turn to be probed
        comes.
        """
        if self.state(node_id) is MemberState.ALIVE:
            self._missed_probes.setdefault(node_id, 0)

    def record_missed_probe(self, node_id: str) -> bool:
        """Record an unanswered probe; return whether the node now counts as down."""
        if self.state(node_id) is not MemberState.ALIVE:
            return False
        missed = self._missed_probes.get(node_id, 0) + 1
        self._missed_probes[node_id] = missed
        if missed < MAX_MISSED_PROBES:
            return False
        known = self._update_of(node_id)
        return self.apply_update(
            MembershipUpdate(node_id, known.incarnation, MemberState.DOWN)
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the local node is leaving the fleet."""
        return self.state(self._local_node.node_id) is MemberState.LEAVING

    def begin_leaving(self) -> None:
        """Mark the local node as leaving and spread this to the others."""
        local_id = self._local_node.node_id
        update = MembershipUpdate(local_id, self.incarnation + 1, MemberState.LEAVING)
        self._updates[local_id] = update
        self._spread(local_id)

    def next_probe(self) -> Node | None:
        """Return the node to probe next: a suspected one, else by shuffled turns."""
        for node_id in self._missed_probes:
            if node_id in self._nodes and self.state(node_id) is MemberState.ALIVE:
                return self._nodes[node_id]
        while True:
            if not self._probe_order:
                self._probe_order = [
                    node_id
                    for node_id in self._nodes
                    if node_id != self._local_node.node_id
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            node = self._nodes.get(self._probe_order.pop())
            if node is not None:
                return node

    def updates_to_send(self, *, receiver: str) -> list[MembershipUpdate]:
        """Return the updates sent least often so far, and count them as sent.

        A receiver that is down or leaving in this view always gets the update on
        itself: after a partition, or a restart with its clock set back, the update has
        already been sent as often as the limit allows, and the receiver could not
        refute it otherwise.
        """
        least_sent = sorted(
            self._sends_left, key=lambda node_id: -self._sends_left[node_id]
        )
        chosen = least_sent[:MAX_UPDATES_PER_MESSAGE]
        for node_id in chosen:
            self._sends_left[node_id] -= 1
            if self._sends_left[node_id] <= 0:
                del self._sends_left[node_id]
        if self.state(receiver) is not MemberState.ALIVE and receiver not in chosen:
            chosen.append(receiver)
        if self.is_leaving and self._local_node.node_id not in chosen:
            # Nodes that have not received it would keep sending callers to this node.
            chosen.append(self._local_node.node_id)
        return [self._update_of(node_id) for node_id in chosen]

    def _refute(self, update: MembershipUpdate) -> bool:
        local = self._updates[self._local_node.node_id]
        if local.state is MemberState.ALIVE and update.supersedes(local):
            self._updates[local.node_id] = local._replace(
                incarnation=update.incarnation + 1
            )
            self._spread(local.node_id)
        return False

    def _spread(self, node_id: str) -> None:
        rounds = math.ceil(math.log2(len(self._nodes) + 1))
        self._sends_left[node_id] = RETRANSMIT_FACTOR * rounds

    def _update_of(self, node_id: str) -> MembershipUpdate:
        return self._updates.get(
            node_id, MembershipUpdate(node_id, 0, MemberState.ALIVE)
        )
