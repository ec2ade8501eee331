"""Probe random peers; each probe carries load shares, rumours and a version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.store_freshness import UNKNOWN_AGES
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import LoadShare
from clementineyoke_core.membership_update import MembershipUpdate, NodeState
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import CrashNote, Gossip, PoolLoad, RumourNote

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.store_freshness import StoreAges
    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket


MOST_ANNOUNCED = 256
"""Peers told at once that a node leaves, drawn anew each time. Told to a few, always
the same ones, the news goes on by gossip for seconds in a large fleet, and callers are
sent to a node that has closed its door."""
KNOWN_STATES = frozenset(int(state) for state in NodeState)


class Gossiper:
    """Run one exchange a round: constant cost, whatever the fleet's size."""

    def __init__(
        self,
        *,
        socket: PeerSocket,
        membership: Membership,
        mean_load: MeanLoadEstimator,
        settings_version: Callable[[], int],
        on_newer_settings: Callable[[Node, int], None],
        on_change: Callable[[], None],
        runners_version: Callable[[], int] = lambda: 0,
        on_newer_runners: Callable[[Node, int], None] | None = None,
        on_unknown_peer: Callable[[PeerAddress], None] | None = None,
        store_ages: Callable[[], StoreAges] = lambda: UNKNOWN_AGES,
        on_gossip: Callable[[Node, Gossip], None] = lambda _, __: None,
        crash_notes: Callable[[], list[CrashNote]] = list,
        evacuations_version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._mean_load = mean_load
        self._settings_version = settings_version
        self._on_newer_settings = on_newer_settings
        self._on_change = on_change
        self._runners_version = runners_version
        self._on_newer_runners = on_newer_runners
        self._on_stranger = on_unknown_peer
        self._store_ages = store_ages
        self._on_gossip = on_gossip
        self._crash_notes = crash_notes
        self._evacuations_version = evacuations_version
        self._pushed: dict[int, tuple[str, dict[str, LoadShare]]] = {}
        self._pool_names: dict[int, str] = {}
        socket.handle(Gossip, self._receive)

    def set_pools(self, pools: set[str]) -> None:
        """Take the names of pools, which cross the wire as hashes."""
        self._pool_names = {hash_text(pool): pool for pool in pools}

    async def run_round(self) -> None:
        """Probe one node; an earlier probe still unanswered counts as missed."""
        self._count_missed()
        node = self._membership.next_probe()
        if node is None:
            return
        shares: dict[str, LoadShare] = {}
        if node.region == self._membership.local_node.region:
            shares = self._mean_load.begin_round()
        sequence = self._socket.next_ask_id()
        self._pushed[sequence] = (node.node_id, shares)
        self._send(node, sequence=sequence, is_reply=False, shares=shares)

    def announce(self) -> None:
        """Tell some peers at once what is new, without waiting for a round.

        A change that only waits for its turn to be gossiped takes a second to reach
        everyone, seen as calls on a leaving node. The receivers' replies count as no
        probe: the number is not kept.
        """
        for node in self._membership.sample(MOST_ANNOUNCED):
            self._send(
                node, sequence=self._socket.next_ask_id(), is_reply=True, shares={}
            )

    def _count_missed(self) -> None:
        # The gossip interval is no shorter than the probe's timeout, so whatever is
        # still here has had its time.
        missed = list(self._pushed.values())
        self._pushed.clear()
        for node_id, _ in missed:
            if self._membership.record_missed_probe(node_id):
                log_event(Event.NODE_DOWN, node=node_id)
                self._on_change()

    def _receive(self, received: PeerMessage) -> None:
        node = self._find_node(received.peer)
        if node is None:
            if self._on_stranger is not None:
                self._on_stranger(received.peer)
            return
        gossip: Gossip = received.message
        if self._membership.record_message(
            node.node_id, incarnation=received.incarnation
        ):
            log_event(Event.NODE_BACK, node=node.node_id)
            self._on_change()
        self._hear_rumours(gossip.rumours)
        shares = self._to_shares(gossip.loads)
        if gossip.is_reply:
            self._take_reply(gossip.sequence, shares)
        else:
            self._answer(node, gossip.sequence, shares)
        if gossip.settings_version > self._settings_version():
            self._on_newer_settings(node, gossip.settings_version)
        self._on_gossip(node, gossip)
        if self._on_newer_runners is None:
            return
        if gossip.runners_version > self._runners_version():
            self._on_newer_runners(node, gossip.runners_version)

    def _take_reply(self, sequence: int, replied: dict[str, LoadShare]) -> None:
        pushed = self._pushed.pop(sequence, None)
        if pushed is not None and pushed[1]:
            self._mean_load.finish_round(pushed=pushed[1], replied=replied)

    def _answer(self, node: Node, sequence: int, pushed: dict[str, LoadShare]) -> None:
        shares: dict[str, LoadShare] = {}
        if node.region == self._membership.local_node.region:
            shares = self._mean_load.merge(pushed)
        self._send(node, sequence=sequence, is_reply=True, shares=shares)

    def _send(
        self, node: Node, *, sequence: int, is_reply: bool, shares: dict[str, LoadShare]
    ) -> None:
        self._socket.set_incarnation(self._membership.incarnation)
        loads = [
            PoolLoad(hash_text(pool), share.load, share.runners)
            for pool, share in shares.items()
        ]
        notes = [
            RumourNote(rumour.node_id, rumour.incarnation, int(rumour.state))
            for rumour in self._membership.updates_to_send(receiver=node.node_id)
        ]
        ages = self._store_ages()
        message = Gossip(
            sequence,
            is_reply,
            self._settings_version(),
            loads,
            notes,
            self._runners_version(),
            ages.state_ms,
            ages.runners_ms,
            self._crash_notes(),
            self._evacuations_version(),
            ages.evacuations_ms,
        )
        self._socket.send(PeerAddress.of(node), message)

    def _hear_rumours(self, notes: list[RumourNote]) -> None:
        changed = False
        for note in notes:
            if note.state not in KNOWN_STATES:
                # A node of a later version may know more states.
                continue
            rumour = MembershipUpdate(
                note.node_id, note.incarnation, NodeState(note.state)
            )
            changed = self._membership.apply_update(rumour) or changed
        if changed:
            self._on_change()

    def _to_shares(self, loads: list[PoolLoad]) -> dict[str, LoadShare]:
        return {
            self._pool_names[load.pool]: LoadShare(load.load, load.runners)
            for load in loads
            if load.pool in self._pool_names
        }

    def _find_node(self, peer: PeerAddress) -> Node | None:
        return self._membership.node_at(peer.address, peer.port)
