"""Records which software version began each stream, and tells peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.call_rate import CallRate
from clementineyoke_core.edge.streams.stream_records import (
    MAX_TTL_MS,
    RESUMPTION_TTL_MS,
    UNKNOWN_VERSION,
    StreamRecord,
    is_attempt_id,
    stream_key,
)
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.edge.streams.stream_notes import to_note, to_record
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import StreamNews, StreamNote

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.route import Route
    from clementineyoke_core.edge.route_pools import RoutePools
    from clementineyoke_core.edge.streams.pool_versions import PoolVersions
    from clementineyoke_core.edge.streams.stream_records import StreamRecords
    from clementineyoke_core.node import Node
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.edge.lifetime_exchange import LifetimeExchange
    from clementineyoke_node.edge.streams.stream_archive import StreamArchive
    from clementineyoke_node.edge.streams.stream_finder import (
        ResumedStream,
        StreamFinder,
    )
    from clementineyoke_node.edge.streams.stream_holders import StreamHolders
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

NOTE_RATE_DECAY_MS = 10_000.0
"""Streams that begin at once do not leave records at fewer nodes."""
MAX_NOTES_PER_MESSAGE = 24
"""Keeps a datagram below 1,200 bytes."""


class StreamRegistry:
    """Keep the versions of streams on several nodes, and find them again.

    A stream may only go on at the version that began it, and its caller may resume it
    at any node. The node that relays a stream tells the version to a few peers before
    it writes the first event, so that it is known after that node has ended. Fewer
    peers are told where the runners have certainly had one version lately, and the pool
    has shared no route with other pools; none if these runners may restart under their
    ids, as the record may be wrong then.
    """

    def __init__(
        self,
        *,
        records: StreamRecords,
        versions: PoolVersions,
        route_pools: RoutePools,
        stream_archive: StreamArchive,
        finder: StreamFinder,
        holders: StreamHolders,
        table: RunnerTable,
        socket: PeerSocket,
        timers: TimerService,
        metrics: Metrics,
        is_view_current: Callable[[], bool],
        runners_age_ms: Callable[[], int],
        runners_revision: Callable[[], int],
        lifetimes: LifetimeExchange,
    ) -> None:
        """Create a registry.

        ``is_view_current`` tells whether the store has confirmed this node's list of
        runners lately, ``runners_age_ms`` how long ago the store or a peer confirmed it
        last, and ``runners_revision`` the revision up to which this node knows them.
        """
        self.lifetimes = lifetimes
        self._records = records
        self._versions = versions
        self._route_pools = route_pools
        self._stream_archive = stream_archive
        self._finder = finder
        self._holders = holders
        self._table = table
        self._socket = socket
        self._timers = timers
        self._metrics = metrics
        self._is_view_current = is_view_current
        self.runners_age_ms = runners_age_ms
        self._runners_revision = runners_revision
        self.is_mixed = finder.is_mixed
        self._needs_records = finder.needs_records
        self._note_rate = CallRate(decay_ms=NOTE_RATE_DECAY_MS)
        self._pools: set[str] = set()
        self._was_view_current = True
        socket.handle(StreamNews, self._receive_news)

    def record_begin(
        self, admitted: AdmittedCall, runner: Runner, *, connected_ms: float
    ) -> str:
        """Record the version of a stream; must be called before its first event.

        The messages to peers are sent before the caller can get that event. Returns the
        version that may go on with the stream. ``connected_ms`` is described at
        ``LifetimeDoubts``.
        """
        is_doubtful = self._table.may_be_replaced(runner, connected_ms=connected_ms)
        version = UNKNOWN_VERSION if is_doubtful else runner.version
        if not _is_resumable(admitted):
            return version
        record = StreamRecord(
            hash_text(runner.pool),
            version,
            self._expires_ms(admitted),
            is_ambiguous=is_doubtful,
        )
        key = stream_key(admitted.team, admitted.call.call_id)
        self._records.merge(key, record, now_ms=self._timers.now_ms())
        self._stream_archive.add(key)
        is_needed = is_doubtful or self._needs_records(runner.pool)
        # A runner may have restarted under its id at a version that nobody lists yet.
        if is_needed or not runner.born_ms:
            self._share(key, is_needed=is_needed)
        return version

    def record_complete(self, admitted: AdmittedCall) -> None:
        """Forget a completed stream, unless its version would have to be known."""
        if not _is_resumable(admitted):
            return
        needs_records = self._needs_records(admitted.pool)
        for attempt in (admitted.call.call_id, admitted.call.resumes):
            key = stream_key(admitted.team, attempt or "")
            self._stream_archive.discard(key)
            if not needs_records:
                self._records.remove(key)

    async def find(self, admitted: AdmittedCall) -> ResumedStream | None:
        """Return who may go on with the stream that a caller resumes.

        Returns None for a call that resumes nothing. Raises ``RequestError`` if the
        version that began the stream is unknown, or is of a pool that the call's route
        does not use.
        """
        if not _is_resumption(admitted):
            return None
        stream = await self._finder.find(admitted)
        resumes = admitted.call.resumes or ""
        if is_attempt_id(resumes):
            key = stream_key(admitted.team, resumes)
            self._prolong(key, stream, admitted)
        return stream

    def update_versions(self) -> None:
        """Apply a changed list of runners."""
        listed: dict[str, set[str]] = {}
        for entry in self._table.entries():
            runner = entry.runner
            listed.setdefault(runner.pool, set()).add(runner.version)
        self._pools = set(listed)
        self._finder.set_pools(self._pools)
        changed = self._versions.update(
            listed, now_ms=self._timers.now_ms(), revision=self._runners_revision()
        )
        self._report_versions(changed)

    def add_versions(self, versions: dict[str, set[str]]) -> None:
        """Add versions that the store listed and the list of runners lacks so far."""
        now_ms = self._timers.now_ms()
        self._report_versions(self._versions.add(versions, now_ms=now_ms))

    def _report_versions(self, changed: dict[str, list[str]]) -> None:
        for pool, versions in changed.items():
            log_event(Event.POOL_VERSIONS, pool=pool, versions=versions)
            if len(versions) > 1:
                self.share_all(pool)

    def update_routes(self, routes: Sequence[Route]) -> None:
        """Apply changed routes: a stream may now be resumed in another pool."""
        for pool in self._route_pools.update(routes, now_ms=self._timers.now_ms()):
            self.share_all(pool)

    async def drop_expired(self) -> None:
        """Forget streams and versions that are too old to matter."""
        now_ms = self._timers.now_ms()
        self._records.drop_expired(now_ms=now_ms)
        self._versions.drop_expired(now_ms=now_ms)
        self._metrics.stream_records.set({}, len(self._records))

    async def share_unconfirmed(self) -> None:
        """Send all records once the list of runners has not been confirmed lately."""
        is_current = self._is_view_current()
        was_current, self._was_view_current = self._was_view_current, is_current
        if was_current and not is_current:
            for pool in self._pools:
                self.share_all(pool)

    def _prolong(self, key: int, stream: ResumedStream, admitted: AdmittedCall) -> None:
        """Keep a resumed stream for as long as a new one, on its present holders.

        Its caller names the attempt that began it again, also once the pool is mixed.
        """
        pool, expires_ms = hash_text(stream.pool), self._expires_ms(admitted)
        record = StreamRecord(pool, stream.version, expires_ms)
        self._records.merge(key, record, now_ms=self._timers.now_ms())
        self._stream_archive.add(key)
        self._share(key, is_needed=self._needs_records(admitted.pool))

    def _expires_ms(self, admitted: AdmittedCall) -> float:
        """Return until when a stream that goes on now may be resumed."""
        ttl_ms = RESUMPTION_TTL_MS + admitted.route.timeout_ms
        return self._timers.now_ms() + min(MAX_TTL_MS, ttl_ms)

    def _share(self, key: int, *, is_needed: bool) -> None:
        """Send a stream's record to its holders."""
        now_ms = self._timers.now_ms()
        record = self._records.find(key, now_ms=now_ms)
        if record is None:
            return
        self._note_rate.record(now_ms=now_ms)
        news = StreamNews([to_note(key, record, now_ms=now_ms)])
        # Where one version serves, a lookup ends before all peers have answered.
        nodes = self._told_nodes(
            key, now_ms, is_needed=is_needed, is_ambiguous=record.is_ambiguous
        )
        self._socket.send_all([PeerAddress.of(node) for node in nodes], news)

    def share_all(self, pool: str) -> None:
        """Send the records of a pool, which are needed from now on.

        Few nodes were told of them, and some of those may have ended since.
        """
        now_ms = self._timers.now_ms()
        by_holder: dict[Node, list[StreamNote]] = {}
        for key, record in self._records.of_pool(hash_text(pool), now_ms=now_ms):
            for node in self._told_nodes(key, now_ms, is_needed=True):
                by_holder.setdefault(node, []).append(
                    to_note(key, record, now_ms=now_ms)
                )
        for node, notes in by_holder.items():
            for start in range(0, len(notes), MAX_NOTES_PER_MESSAGE):
                news = StreamNews(notes[start : start + MAX_NOTES_PER_MESSAGE])
                self._socket.send(PeerAddress.of(node), news)

    def _told_nodes(
        self, key: int, now_ms: float, *, is_needed: bool, is_ambiguous: bool = False
    ) -> list[Node]:
        return self._holders.told_nodes(
            key,
            notes_per_s=self._note_rate.per_s(now_ms=now_ms),
            writers=self._stream_archive.writers(),
            is_needed=is_needed,
            is_ambiguous=is_ambiguous,
        )

    def _receive_news(self, received: PeerMessage) -> None:
        news: StreamNews = received.message
        now_ms = self._timers.now_ms()
        for note in news.notes:
            self._records.merge(note.key, to_record(note, now_ms=now_ms), now_ms=now_ms)
            self._stream_archive.add(note.key)


def _is_resumption(admitted: AdmittedCall) -> bool:
    """Return whether a call goes on with a stream that an earlier call began."""
    call = admitted.call
    has_events = call.resumes is not None or bool(call.last_event)
    return _is_resumable(admitted) and has_events


def _is_resumable(admitted: AdmittedCall) -> bool:
    return admitted.route.kind is CallKind.STREAM and admitted.route.is_resumable
