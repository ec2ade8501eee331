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

MOST_NOTES = 8
"""Maximum number of runner changes in a broadcast; receivers fetch larger sets from the
sender. Eight changes make a datagram of 607 bytes, which leaves room for longer names
below 1.4 kB."""


class UpdateBroadcaster:
    """Broadcast store updates, and how long ago each was known to be the newest.

    If every node watched the store, the calls to it would grow with the fleet: with 59
    nodes they cost a sixth of all earnings, and each change woke every node twice. One
    or two nodes per zone watch instead and notify the others. A node that learns of a
    change from outside its zone also notifies the zone: if the watchers of a zone are
    cut off, one node that receives the change by gossip is enough.
    """

    def __init__(
        self,
        *,
        socket: PeerSocket,
        membership: Membership,
        view: FleetView,
        on_newer: Callable[[Node], None],
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._view = view
        self._on_newer = on_newer
        socket.handle(StoreNews, self._receive)

    def broadcast(self, changes: DirectoryChanges | None = None) -> None:
        """Send the zone the revisions known here, with changes of runners if any."""
        own = self._membership.local_node
        peers = [
            PeerAddress.of(node)
            for node in self._membership.alive(region=own.region)
            if node.availability_zone == own.availability_zone and node != own
        ]
        if peers:
            self._socket.send_all(peers, self._news(changes))

    def send_to(self, node: Node, changes: DirectoryChanges) -> None:
        """Send changes to one node, which notifies its zone if that is another one."""
        if node != self._membership.local_node:
            self._socket.send(PeerAddress.of(node), self._news(changes))

    def _news(self, changes: DirectoryChanges | None) -> StoreNews:
        ages = self._view.ages()
        known = self._view.runners_revision
        if changes is None or _size(changes) > MOST_NOTES:
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
            [RemovalNote(*ended) for ended in changes.removals],
            self._view.evacuations.version,
            ages.evacuations_ms,
        )

    def _receive(self, received: PeerMessage) -> None:
        sender = self._membership.node_at(received.peer.address, received.peer.port)
        if sender is None:
            return
        news: StoreNews = received.message
        is_zone_told = (
            sender.availability_zone == self._membership.local_node.availability_zone
        )
        changes = _changes_of(news)
        # Also applies changes of a known revision: another watcher may know better
        # whether an entry was removed or expired.
        if _size(changes) and self._view.follows_on(changes):
            self._view.apply_runner_changes(
                changes, source=sender.node_id, is_zone_told=is_zone_told
            )
        is_behind = (
            news.state_version > self._view.state_revision
            or news.runners_version > self._view.runners_revision
            or news.evacuations_version > self._view.evacuations.view.revision
        )
        if is_behind:
            self._on_newer(sender)
        self._view.hear_ages(
            StoreAges(news.state_age_ms, news.runners_age_ms, news.evacuations_age_ms),
            state_revision=news.state_version,
            runners_revision=news.runners_version,
            evacuations_version=news.evacuations_version,
        )


def _size(changes: DirectoryChanges) -> int:
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
    )


def _changes_of(news: StoreNews) -> DirectoryChanges:
    return DirectoryChanges(
        news.runners_base,
        news.runners_version,
        tuple(_to_record(note) for note in news.runners),
        tuple(RunnerRemoval(*note) for note in news.removals),
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
    )
    return RunnerRecord(runner, note.is_leaving, note.revision, note.cold_ms)
