"""Broadcast updates from the store to the nodes of the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.runner_directory import DirectoryChanges, RunnerRemoval
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.edge.store_freshness import UNKNOWN_AGES, StoreAges
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.messages import RemovalNote, RunnerNote, StoreNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.edge.fleet_view import FleetView
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket

MAX_BROADCAST_CHANGES = 8
"""Maximum number of runner changes in a broadcast; receivers fetch larger sets from the
sender. Eight similar changes make a datagram of 607 bytes, so that longer names fit
into 1.4 kB as well."""


class UpdateBroadcaster:
    """Broadcast store updates, and how long ago each was known to be the newest.

    If every node watched the store, the calls to it would grow with the fleet. Each
    call has a price: with 59 nodes the calls cost a sixth of the fleet's revenue, and
    each change woke every node twice. One or two nodes per zone watch instead and
    notify the others. A node that learns of a change from outside its zone also
    notifies the zone: if the watchers of a zone are cut off, one node that receives the
    change by gossip is enough.
    """

    def __init__(
        self,
        *,
        socket: PeerSocket,
        membership: Membership,
        view: FleetView,
        on_newer_revision: Callable[[Node], None],
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._view = view
        self._on_newer_revision = on_newer_revision
        socket.handle(StoreNews, self._receive)

    def broadcast(self, changes: DirectoryChanges | None = None) -> None:
        """Send the zone the revisions known here, with changes of runners if any."""
        local_node = self._membership.local_node
        peers = [
            PeerAddress.of(node)
            for node in self._membership.alive(region=local_node.region)
            if node.availability_zone == local_node.availability_zone
            and node != local_node
        ]
        if peers:
            self._socket.send_all(peers, self._make_message(changes))

    def send_to(self, node: Node, changes: DirectoryChanges) -> None:
        """Send changes to one node, which notifies its zone if that is another one."""
        if node != self._membership.local_node:
            self._socket.send(PeerAddress.of(node), self._make_message(changes))

    def _make_message(self, changes: DirectoryChanges | None) -> StoreNews:
        ages = self._view.ages()
        known = self._view.runners_revision
        if changes is None or _count_changes(changes) > MAX_BROADCAST_CHANGES:
            changes = DirectoryChanges(known, known, (), ())
        # The view may be newer than these changes. Sent with the revision of the view,
        # they would hide the changes in between, and a leaving runner would go on
        # getting calls.
        is_newest = changes.revision == known
        return StoreNews(
            self._view.state_revision,
            ages.state_ms,
            changes.base_revision,
            changes.revision,
            ages.runners_ms if is_newest else UNKNOWN_AGES.runners_ms,
            [_to_note(record) for record in changes.records],
            [RemovalNote(*removal) for removal in changes.removals],
            self._view.evacuations.version,
            ages.evacuations_ms,
        )

    def _receive(self, received: PeerMessage) -> None:
        sender = self._membership.node_at(received.peer.address, received.peer.port)
        if sender is None:
            return
        message: StoreNews = received.message
        is_zone_notified = (
            sender.availability_zone == self._membership.local_node.availability_zone
        )
        changes = _to_changes(message)
        # Also applies changes of a known revision: another watcher may know better
        # whether an entry was removed or lapsed.
        if _count_changes(changes) and self._view.is_contiguous_with(changes):
            self._view.apply_runner_changes(
                changes, source=sender.node_id, is_zone_notified=is_zone_notified
            )
        is_behind = (
            message.state_version > self._view.state_revision
            or message.runners_version > self._view.runners_revision
            or message.evacuations_version > self._view.evacuations.view.revision
        )
        if is_behind:
            self._on_newer_revision(sender)
        self._view.adopt_ages(
            StoreAges(
                message.state_age_ms, message.runners_age_ms, message.evacuations_age_ms
            ),
            state_revision=message.state_version,
            runners_revision=message.runners_version,
            evacuations_version=message.evacuations_version,
        )


def _count_changes(changes: DirectoryChanges) -> int:
    return len(changes.records) + len(changes.removals)


def _to_note(record: RunnerRecord) -> RunnerNote:
    runner = record.runner
    return RunnerNote(
        runner.runner_id,
        runner.address,
        runner.port,
        runner.availability_zone,
        runner.region,
        runner.kind is RunnerKind.ENGINE,
        runner.pool,
        runner.slots,
        record.is_leaving,
        record.revision,
        runner.born_ms,
        int(record.cold_ms),
        runner.version,
    )


def _to_changes(message: StoreNews) -> DirectoryChanges:
    return DirectoryChanges(
        message.runners_base,
        message.runners_version,
        tuple(_to_record(note) for note in message.runners),
        tuple(RunnerRemoval(*note) for note in message.removals),
    )


def _to_record(note: RunnerNote) -> RunnerRecord:
    runner = Runner(
        runner_id=note.runner_id,
        address=note.address,
        port=note.port,
        availability_zone=note.availability_zone,
        region=note.region,
        kind=RunnerKind.ENGINE if note.is_engine else RunnerKind.SERVICE,
        pool=note.pool,
        slots=note.slots,
        born_ms=note.born_ms,
        version=note.version,
    )
    return RunnerRecord(runner, note.is_leaving, note.revision, note.cold_ms)
