"""Finds out which software version began a stream that a caller resumes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.call_rate import CallRate
from clementineyoke_core.edge.stream_lookup import (
    LookupAnswer,
    LookupResult,
    StreamLookup,
)
from clementineyoke_core.edge.stream_records import (
    MAX_TTL_MS,
    RESUMPTION_TTL_MS,
    UNKNOWN_VERSION,
    StreamRecord,
    is_attempt_id,
    stream_key,
)
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.answer_collection import collect_answers
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_node.platform.store_error import StoreError
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import StreamAsk, StreamNews, StreamNote, StreamReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.pool_versions import PoolVersions
    from clementineyoke_core.edge.route import Route
    from clementineyoke_core.edge.route_pools import RoutePools
    from clementineyoke_core.edge.stream_records import StreamRecords
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.lifetime_exchange import LifetimeExchange
    from clementineyoke_node.edge.stream_archive import StreamArchive
    from clementineyoke_node.edge.version_archive import VersionArchive
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
MIN_HOLDERS = 3
MAX_HOLDERS = 8
"""Peers that keep the record of one stream, and that are asked for it."""
HOLDER_BYTES_PER_S = 2_000
"""Traffic for records up to which a node chooses more than the fewest holders."""
HOLDER_CANDIDATES = 3 * MAX_HOLDERS
"""Nodes among which the holders are chosen, so that they are in several zones."""
NOTE_BYTES = 87
"""Size of a datagram with one note, headers included."""
MAX_NOTES_PER_MESSAGE = 24
"""Keeps a datagram below 1,200 bytes."""
LOOKUP_TIMEOUT_MS = 300.0
"""Time for the answer of a busy peer; others take a few milliseconds. Only streams that
no peer in reach knows wait for peers that have ended."""
CONFIRM_TIMEOUT_MS = 50.0
"""Time for peers to contradict the first record of a stream."""
STORE_TIMEOUT_MS = 800.0
"""Time for the store to tell of versions and streams from before a start."""
RETURN_MARGIN_MS = 5_000.0
"""Time in which a caller resumes a broken stream."""
UNKNOWN_RETRY_MS = 1_000
"""Retry-After for a stream whose version no node knows. Another try may reach a node
that is in touch with more peers."""
FIND_STEP = "find_stream"
MAX_LOGGED_ID_LENGTH = 64


class ResumedStream(NamedTuple):
    """A stream that a caller resumes, and who may go on with it."""

    pool: str
    version: str


class StreamRegistry:
    """Keep the versions of streams on several nodes, and find them again.

    A stream may only go on at the version that began it, and its caller may resume it
    at any node. The node that relays a stream tells the version to a few peers before
    it writes the first event, so that it is known after that node has ended.
    Nothing is sent for pools whose runners have certainly had one version lately, and
    that have shared no route with other pools.
    """

    def __init__(
        self,
        *,
        records: StreamRecords,
        versions: PoolVersions,
        route_pools: RoutePools,
        version_archive: VersionArchive,
        stream_archive: StreamArchive,
        homes: HomeNodes,
        membership: Membership,
        table: RunnerTable,
        socket: PeerSocket,
        timers: TimerService,
        decisions: DecisionRing,
        metrics: Metrics,
        is_view_current: Callable[[], bool],
        runners_age_ms: Callable[[], int],
        runners_revision: Callable[[], int],
        lifetimes: LifetimeExchange,
    ) -> None:
        """Create a registry; ``homes`` assigns streams to the nodes of the region.

        ``is_view_current`` is described at ``StreamLookup``. ``runners_age_ms`` returns
        how long ago the store or a peer last confirmed the list of runners, and
        ``runners_revision`` the revision up to which this node knows them.
        """
        self.lifetimes = lifetimes
        self._records = records
        self._versions = versions
        self._route_pools = route_pools
        self._version_archive = version_archive
        self._stream_archive = stream_archive
        self._homes = homes
        self._membership = membership
        self._table = table
        self._socket = socket
        self._timers = timers
        self._decisions = decisions
        self._metrics = metrics
        self._is_view_current = is_view_current
        self.runners_age_ms = runners_age_ms
        self._runners_revision = runners_revision
        self._note_rate = CallRate()
        self._pool_names: dict[int, str] = {}
        socket.handle(StreamNews, self._receive_news)
        socket.handle(StreamAsk, self._receive_ask)

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of several versions or pools may be resumed there."""
        now_ms = self._timers.now_ms()
        if self._route_pools.is_shared(pool, now_ms=now_ms):
            return True
        return self._versions.is_mixed(pool, now_ms=now_ms)

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
        if is_doubtful or self._needs_records(runner.pool):
            self._share(key)
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
        started_ms = self._timers.now_ms()
        resumes = admitted.call.resumes or ""
        is_named = is_attempt_id(resumes)
        key = stream_key(admitted.team, resumes) if is_named else 0
        lookup = await self._look_up_with_store(admitted, key)
        result = lookup.conclude()
        self._metrics.stream_lookups.inc({"result": result.value})
        stream = self._choose(admitted, lookup, result)
        self._decisions.record(
            Event.STREAM_RESUMED,
            request_id=admitted.call.call_id,
            resumes=describe_resumed(admitted),
            result=result.value,
            pool=admitted.pool if stream is None else stream.pool,
            version=None if stream is None else stream.version,
            asked=lookup.asked,
            answers=lookup.answer_count,
            took_ms=round(self._timers.now_ms() - started_ms),
        )
        if stream is None:
            raise RequestError(
                status=503,
                outcome=Outcome.NOT_RUN,
                step=FIND_STEP,
                reason=_describe_failure(resumes, result, is_named=is_named),
                retry_after_ms=UNKNOWN_RETRY_MS,
            )
        if is_named:
            self._prolong(key, stream, admitted)
        return stream

    def update_versions(self) -> None:
        """Apply a changed list of runners."""
        listed: dict[str, set[str]] = {}
        for entry in self._table.entries():
            runner = entry.runner
            listed.setdefault(runner.pool, set()).add(runner.version)
        self._pool_names = {hash_text(pool): pool for pool in listed}
        changed = self._versions.update(listed, now_ms=self._timers.now_ms())
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

    def _needs_records(self, pool: str) -> bool:
        """Return whether peers go on with a pool's streams only by their records."""
        return self.is_mixed(pool) or self._table.has_doubtful_runner(pool)

    async def _look_up_with_store(
        self, admitted: AdmittedCall, key: int
    ) -> StreamLookup:
        """Look a stream up, also in the store if no node can tell its version.

        After all nodes have ended, only the store knows former versions and streams.
        """
        lookup = await self._look_up(admitted, key)
        if lookup.conclude() is not LookupResult.UNKNOWN:
            return lookup
        is_read = False
        try:
            async with asyncio.timeout(STORE_TIMEOUT_MS / MS_PER_S):
                if not lookup.knows_whole_time:
                    await self._version_archive.ensure_loaded()
                    is_read = True
                if key and self.is_mixed(admitted.pool):
                    is_read = await self._stream_archive.load() or is_read
        except (StoreError, TimeoutError) as error:
            log_event(Event.PLATFORM_AWAY, step=FIND_STEP, reason=repr(error))
        return await self._look_up(admitted, key) if is_read else lookup

    async def _look_up(self, admitted: AdmittedCall, key: int) -> StreamLookup:
        pool = hash_text(admitted.pool)
        own = self._answer(key, pool)
        count, timeout_ms = MAX_HOLDERS, LOOKUP_TIMEOUT_MS
        if own.record is not None:
            # Where records are not needed, nothing is told to peers.
            count = MIN_HOLDERS if self._needs_records(admitted.pool) else 0
            timeout_ms = CONFIRM_TIMEOUT_MS
        holders = self._holders(key, count)
        lookup = StreamLookup(
            own=own,
            asked=len(holders),
            is_view_current=self._is_view_current(),
            max_age_ms=admitted.route.timeout_ms + RETURN_MARGIN_MS,
        )
        asks = [
            asyncio.ensure_future(self._ask(node, key, pool, timeout_ms))
            for node in holders
        ]
        try:
            await collect_answers(lookup, asks, confirm_ms=CONFIRM_TIMEOUT_MS)
        finally:
            for ask in asks:
                ask.cancel()
        return lookup

    async def _ask(
        self, node: Node, key: int, pool: int, timeout_ms: float
    ) -> LookupAnswer | None:
        ask = StreamAsk(self._socket.next_ask_id(), key, pool)
        with suppress(TimeoutError):
            reply = await self._socket.request(
                node, ask, reply_type=StreamReply, timeout_ms=timeout_ms
            )
            record = self._to_record(reply.notes[0]) if reply.notes else None
            # A peer whose list is older has not seen what this node may have missed.
            is_behind = reply.runners_version < self._runners_revision()
            observed_ms = 0 if is_behind else reply.observed_ms
            return LookupAnswer(record, tuple(reply.versions), observed_ms)
        return None

    def _choose(
        self, admitted: AdmittedCall, lookup: StreamLookup, result: LookupResult
    ) -> ResumedStream | None:
        if result is LookupResult.ONLY_VERSION and lookup.only_version is not None:
            return ResumedStream(admitted.pool, lookup.only_version)
        if result is LookupResult.RECORDED and lookup.record is not None:
            for entry in admitted.route.pools:
                if hash_text(entry.pool) == lookup.record.pool:
                    return ResumedStream(entry.pool, lookup.record.version)
        return None

    def _answer(self, key: int, pool_hash: int) -> LookupAnswer:
        now_ms = self._timers.now_ms()
        record = self._records.find(key, now_ms=now_ms) if key else None
        pool = self._pool_names.get(pool_hash)
        versions = [] if pool is None else self._versions.recent(pool, now_ms=now_ms)
        if pool is not None and (
            self._table.has_doubtful_runner(pool)
            or self._route_pools.is_shared(pool, now_ms=now_ms)
        ):
            versions.append(UNKNOWN_VERSION)
        observed_ms = self._versions.observed_ms(now_ms=now_ms)
        return LookupAnswer(record, tuple(versions), observed_ms)

    def _prolong(self, key: int, stream: ResumedStream, admitted: AdmittedCall) -> None:
        """Keep a resumed stream for as long as a new one, on its present holders.

        Its caller names the attempt that began it again, also once the pool is mixed.
        """
        pool, expires_ms = hash_text(stream.pool), self._expires_ms(admitted)
        record = StreamRecord(pool, stream.version, expires_ms)
        self._records.merge(key, record, now_ms=self._timers.now_ms())
        self._stream_archive.add(key)
        if self._needs_records(admitted.pool):
            self._share(key)

    def _expires_ms(self, admitted: AdmittedCall) -> float:
        """Return until when a stream that goes on now may be resumed."""
        ttl_ms = RESUMPTION_TTL_MS + admitted.route.timeout_ms
        return self._timers.now_ms() + min(MAX_TTL_MS, ttl_ms)

    def _share(self, key: int) -> None:
        """Send a stream's record to its holders."""
        now_ms = self._timers.now_ms()
        record = self._records.find(key, now_ms=now_ms)
        if record is None:
            return
        self._note_rate.record(now_ms=now_ms)
        news = StreamNews([self._to_note(key, record)])
        # Where one version serves, a lookup ends before all peers have answered.
        count = MAX_HOLDERS if record.is_ambiguous else self._holder_count(now_ms)
        holders = self._with_writers(self._holders(key, count))
        self._socket.send_all([PeerAddress.of(node) for node in holders], news)

    def share_all(self, pool: str) -> None:
        """Send the records of a pool, which peers have not needed before."""
        now_ms = self._timers.now_ms()
        count = self._holder_count(now_ms)
        by_holder: dict[Node, list[StreamNote]] = {}
        for key, record in self._records.of_pool(hash_text(pool), now_ms=now_ms):
            for node in self._with_writers(self._holders(key, count)):
                by_holder.setdefault(node, []).append(self._to_note(key, record))
        for node, notes in by_holder.items():
            for start in range(0, len(notes), MAX_NOTES_PER_MESSAGE):
                news = StreamNews(notes[start : start + MAX_NOTES_PER_MESSAGE])
                self._socket.send(PeerAddress.of(node), news)

    def _holder_count(self, now_ms: float) -> int:
        rate_per_s = max(1.0, self._note_rate.per_s(now_ms=now_ms))
        affordable = int(HOLDER_BYTES_PER_S / (rate_per_s * NOTE_BYTES))
        return min(MAX_HOLDERS, max(MIN_HOLDERS, affordable))

    def _holders(self, key: int, count: int) -> list[Node]:
        """Return the peers that keep a stream's record, the first ones preferred."""
        own_id = self._membership.local_node.node_id
        names = self._homes.homes_of(key, max_nodes=HOLDER_CANDIDATES)
        nodes = [self._membership.node(name) for name in names if name != own_id]
        return _spread_over_zones([n for n in nodes if n is not None], count)

    def _with_writers(self, holders: list[Node]) -> list[Node]:
        """Add the nodes that write the streams to the store."""
        writers = map(self._membership.node, self._stream_archive.writers())
        known = {self._membership.local_node, *holders}
        return holders + [n for n in writers if n is not None and n not in known]

    def _to_note(self, key: int, record: StreamRecord) -> StreamNote:
        ttl_ms = max(0, round(record.expires_ms - self._timers.now_ms()))
        return StreamNote(
            key,
            record.pool,
            record.version,
            record.is_ambiguous,
            ttl_ms,
        )

    def _to_record(self, note: StreamNote) -> StreamRecord:
        return StreamRecord(
            note.pool,
            note.version,
            self._timers.now_ms() + min(MAX_TTL_MS, note.ttl_ms),
            note.is_ambiguous,
        )

    def _receive_news(self, received: PeerMessage) -> None:
        news: StreamNews = received.message
        now_ms = self._timers.now_ms()
        for note in news.notes:
            self._records.merge(note.key, self._to_record(note), now_ms=now_ms)
            self._stream_archive.add(note.key)

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: StreamAsk = received.message
        answer = self._answer(ask.key, ask.pool)
        notes = []
        if answer.record is not None:
            notes.append(self._to_note(ask.key, answer.record))
        reply = StreamReply(
            ask.ask_id,
            notes,
            list(answer.versions),
            round(answer.observed_ms),
            self._runners_revision(),
        )
        self._socket.send(received.peer, reply)


def describe_resumed(admitted: AdmittedCall) -> str | None:
    """Return the attempt that a caller resumes, cut to a length fit for a log."""
    resumes = admitted.call.resumes
    return None if resumes is None else resumes[:MAX_LOGGED_ID_LENGTH]


def _is_resumption(admitted: AdmittedCall) -> bool:
    """Return whether a call goes on with a stream that an earlier call began."""
    call = admitted.call
    has_events = call.resumes is not None or bool(call.last_event)
    return _is_resumable(admitted) and has_events


def _spread_over_zones(nodes: Iterable[Node], count: int) -> list[Node]:
    """Return the first nodes, with the first one of each zone before all others."""
    first_of_zone: list[Node] = []
    others: list[Node] = []
    zones: set[str] = set()
    for node in nodes:
        is_first = node.availability_zone not in zones
        (first_of_zone if is_first else others).append(node)
        zones.add(node.availability_zone)
    return (first_of_zone + others)[:count]


def _is_resumable(admitted: AdmittedCall) -> bool:
    return admitted.route.kind is CallKind.STREAM and admitted.route.is_resumable


def _describe_failure(resumes: str, result: LookupResult, *, is_named: bool) -> str:
    if result is LookupResult.AMBIGUOUS:
        return f"streams of several or unknown versions began as {resumes!r}"
    if result is LookupResult.RECORDED:
        return f"the route does not use the pool that began the stream {resumes!r}"
    if not resumes:
        return "the call does not name the attempt that began its stream"
    if not is_named:
        return f"an attempt id of {len(resumes)} characters is no valid one"
    return f"no node knows which version began the stream {resumes!r}"
