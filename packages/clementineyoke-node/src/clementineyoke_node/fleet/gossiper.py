"""Gossip with random peers: probes carry loads, membership updates and versions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.store_freshness import UNKNOWN_AGES
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import LoadShare
from clementineyoke_core.membership_update import MembershipUpdate, MemberState
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


MAX_ANNOUNCED_PEERS = 256
"""Peers notified immediately when a node leaves, a new sample for each announcement.
Notifying only a few fixed peers takes seconds to spread by gossip in a large fleet, and
meanwhile callers are sent to a node that no longer accepts connections."""
KNOWN_STATES = frozenset(int(state) for state in MemberState)


class Gossiper:
    """Exchanges gossip with one peer per round, at a cost independent of fleet size."""

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
        unreachable_pools: Callable[[], list[int]] = list,
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._mean_load = mean_load
        self._settings_version = settings_version
        self._on_newer_settings = on_newer_settings
        self._on_change = on_change
        self._runners_version = runners_version
        self._on_newer_runners = on_newer_runners
        self._on_unknown_peer = on_unknown_peer
        self._store_ages = store_ages
        self._on_gossip = on_gossip
        self._crash_notes = crash_notes
        self._evacuations_version = evacuations_version
        self._unreachable_pools = unreachable_pools
        self._pending_probes: dict[int, tuple[str, dict[str, LoadShare]]] = {}
        self._pool_names: dict[int, str] = {}
        socket.handle(Gossip, self._receive)

    def set_pools(self, pools: set[str]) -> None:
        """Set the known pool names; messages identify pools by a hash of the name."""
        self._pool_names = {hash_text(pool): pool for pool in pools}

    async def run_round(self) -> None:
        """Probe one node, and record earlier probes without a reply as missed."""
        self._record_missed_probes()
        node = self._membership.next_probe()
        if node is None:
            return
        shares: dict[str, LoadShare] = {}
        if node.region == self._membership.local_node.region:
            shares = self._mean_load.begin_round()
        sequence = self._socket.next_ask_id()
        self._pending_probes[sequence] = (node.node_id, shares)
        self._send(node, sequence=sequence, is_reply=False, shares=shares)

    def announce(self, *, max_peers: int = MAX_ANNOUNCED_PEERS) -> None:
        """Send the current state to a sample of peers without waiting for a round.

        A change spread by regular gossip alone takes a second to reach all nodes.
        Meanwhile a leaving node keeps receiving calls, and peers forward calls to a
        node that reaches no runner. Announcements do not count as probes, so their
        sequence numbers are not recorded.
        """
        for node in self._membership.sample(max_peers):
            self._send(
                node, sequence=self._socket.next_ask_id(), is_reply=True, shares={}
            )

    def _record_missed_probes(self) -> None:
        # The gossip interval is at least the probe timeout, so all pending probes have
        # timed out.
        missed = list(self._pending_probes.values())
        self._pending_probes.clear()
        for node_id, _ in missed:
            if self._membership.record_missed_probe(node_id):
                log_event(Event.NODE_DOWN, node=node_id)
                self._on_change()

    def _receive(self, received: PeerMessage) -> None:
        node = self._find_node(received.peer)
        if node is None:
            if self._on_unknown_peer is not None:
                self._on_unknown_peer(received.peer)
            return
        gossip: Gossip = received.message
        if self._membership.record_message(
            node.node_id, incarnation=received.incarnation
        ):
            log_event(Event.NODE_BACK, node=node.node_id)
            self._on_change()
        self._apply_updates(gossip.rumours)
        shares = self._to_shares(gossip.loads)
        if gossip.is_reply:
            self._apply_reply(gossip.sequence, shares)
        else:
            self._reply(node, gossip.sequence, shares)
        if gossip.settings_version > self._settings_version():
            self._on_newer_settings(node, gossip.settings_version)
        self._on_gossip(node, gossip)
        if self._on_newer_runners is None:
            return
        if gossip.runners_version > self._runners_version():
            self._on_newer_runners(node, gossip.runners_version)

    def _apply_reply(self, sequence: int, replied: dict[str, LoadShare]) -> None:
        pushed = self._pending_probes.pop(sequence, None)
        if pushed is not None and pushed[1]:
            self._mean_load.finish_round(pushed=pushed[1], replied=replied)

    def _reply(self, node: Node, sequence: int, pushed: dict[str, LoadShare]) -> None:
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
        rumour_notes = [
            RumourNote(update.node_id, update.incarnation, int(update.state))
            for update in self._membership.updates_to_send(receiver=node.node_id)
        ]
        ages = self._store_ages()
        message = Gossip(
            sequence,
            is_reply,
            self._settings_version(),
            loads,
            rumour_notes,
            self._runners_version(),
            ages.state_ms,
            ages.runners_ms,
            self._crash_notes(),
            self._evacuations_version(),
            ages.evacuations_ms,
            self._unreachable_pools(),
        )
        self._socket.send(PeerAddress.of(node), message)

    def _apply_updates(self, rumour_notes: list[RumourNote]) -> None:
        changed = False
        for note in rumour_notes:
            if note.state not in KNOWN_STATES:
                # Nodes that run a later release may send additional states.
                continue
            update = MembershipUpdate(
                note.node_id, note.incarnation, MemberState(note.state)
            )
            changed = self._membership.apply_update(update) or changed
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
