"""Finds out which software version began a stream that a caller resumes."""

from __future__ import annotations

import asyncio
import math
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.streams.stream_lookup import (
    OWN,
    LookupAnswer,
    LookupResult,
    StreamLookup,
)
from clementineyoke_core.edge.streams.stream_records import (
    UNKNOWN_VERSION,
    is_attempt_id,
    stream_key,
)
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_node.edge.streams.stream_holders import MAX_HOLDERS, MIN_HOLDERS
from clementineyoke_node.edge.streams.stream_notes import to_note, to_record
from clementineyoke_node.platform.store_error import StoreError
from clementineyoke_node.timers.bounded_wait import settled_timeout
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import StreamAsk, StreamReply

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable
    from typing import Any

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.route_pools import RoutePools
    from clementineyoke_core.edge.streams.pool_versions import PoolVersions
    from clementineyoke_core.edge.streams.stream_records import StreamRecords
    from clementineyoke_core.node import Node
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.streams.stream_archive import StreamArchive
    from clementineyoke_node.edge.streams.stream_holders import StreamHolders
    from clementineyoke_node.edge.streams.version_archive import VersionArchive
    from clementineyoke_node.edge.streams.version_confirmation import (
        VersionConfirmation,
    )
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.peers.peer_socket import (
        PeerAddress,
        PeerMessage,
        PeerSocket,
    )
    from clementineyoke_node.timers.timer_service import TimerService

    _Answered = tuple[str, LookupAnswer] | None
    """A node and its answer; None if it gave none in time."""
    _Tasks = set[asyncio.Future[_Answered]]

MS_PER_S = 1000.0
LOOKUP_TIMEOUT_MS = 300.0
"""Time for the answer of a busy peer; others take a few milliseconds. Only streams that
no peer in reach knows wait for peers that have ended."""
CONFIRM_TIMEOUT_MS = 50.0
"""Time for peers to contradict the first record of a stream."""
STORE_TIMEOUT_MS = 800.0
"""Time for the store to tell of versions and streams from before a start."""
STORE_CONFIRM_TIMEOUT_MS = 600.0
"""Time for the store to confirm the versions. Peers may be asked after this node has
failed, and callers give up after two seconds. A slow store takes 0.4 s."""
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


class StreamFinder:
    """Ask peers and the store for the version of a stream, and answer peers."""

    def __init__(
        self,
        *,
        records: StreamRecords,
        versions: PoolVersions,
        route_pools: RoutePools,
        version_archive: VersionArchive,
        stream_archive: StreamArchive,
        confirmation: VersionConfirmation,
        holders: StreamHolders,
        table: RunnerTable,
        socket: PeerSocket,
        timers: TimerService,
        decisions: DecisionRing,
        metrics: Metrics,
        is_view_current: Callable[[], bool],
    ) -> None:
        """Create a finder.

        ``is_view_current`` tells whether the store has confirmed this node's list of
        runners lately.
        """
        self._records = records
        self._versions = versions
        self._route_pools = route_pools
        self._version_archive = version_archive
        self._stream_archive = stream_archive
        self._confirmation = confirmation
        self._holders = holders
        self._table = table
        self._socket = socket
        self._timers = timers
        self._decisions = decisions
        self._metrics = metrics
        self._is_view_current = is_view_current
        self._pool_names: dict[int, str] = {}
        socket.handle(StreamAsk, self._receive_ask)

    def set_pools(self, pools: set[str]) -> None:
        """Set the names of the pools; messages identify them by a hash."""
        self._pool_names = {hash_text(pool): pool for pool in pools}

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of several versions or pools may be resumed there."""
        now_ms = self._timers.now_ms()
        if self._route_pools.is_shared(pool, now_ms=now_ms):
            return True
        return self._versions.is_mixed(pool, now_ms=now_ms)

    def needs_records(self, pool: str) -> bool:
        """Return whether peers go on with a pool's streams only by their records.

        While the store is away, no node can exclude that there is another version.
        """
        if not self._is_view_current():
            return True
        return self.is_mixed(pool) or self._table.has_doubtful_runner(pool)

    async def find(self, admitted: AdmittedCall) -> ResumedStream:
        """Return who may go on with the stream that a caller resumes.

        Raises ``RequestError`` if the version that began the stream is unknown, or is
        of a pool that the call's route does not use.
        """
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
        return stream

    async def _look_up_with_store(
        self, admitted: AdmittedCall, key: int
    ) -> StreamLookup:
        """Look a stream up, also in the store if no node can tell its version.

        After all nodes have ended, only the store knows former versions and streams.
        """
        if not self._knows_places(admitted) and self._is_view_current():
            # Otherwise the lookup would wait for peers that have ended, in vain.
            with suppress(StoreError, TimeoutError):
                async with asyncio.timeout(STORE_TIMEOUT_MS / MS_PER_S):
                    await self._version_archive.ensure_loaded()
        lookup = await self._look_up(admitted, key)
        if lookup.conclude() is not LookupResult.UNKNOWN:
            return lookup
        is_read = False
        try:
            async with asyncio.timeout(STORE_TIMEOUT_MS / MS_PER_S):
                if not lookup.knows_whole_time or not self._knows_places(admitted):
                    await self._version_archive.ensure_loaded()
                    is_read = True
                if key and self._stream_archive.stores(hash_text(admitted.pool)):
                    is_read = await self._stream_archive.load() or is_read
        except (StoreError, TimeoutError) as error:
            log_event(Event.PLATFORM_AWAY, step=FIND_STEP, reason=repr(error))
        return await self._look_up(admitted, key) if is_read else lookup

    async def _look_up(self, admitted: AdmittedCall, key: int) -> StreamLookup:
        pool = hash_text(admitted.pool)
        own = self._own_answer(admitted, key)
        count, timeout_ms = MAX_HOLDERS, LOOKUP_TIMEOUT_MS
        if own.record is not None:
            # Where records are not needed, nothing is told to peers.
            count = MIN_HOLDERS if self.needs_records(admitted.pool) else 0
            timeout_ms = CONFIRM_TIMEOUT_MS
        holders = self._holders.holders(key, count)
        lookup = StreamLookup(
            own=own,
            asked=len(holders),
            max_age_ms=admitted.route.timeout_ms + RETURN_MARGIN_MS,
        )
        asks = _start(self._ask(node, key, pool, timeout_ms) for node in holders)
        confirms: _Tasks = set()
        if lookup.needs_confirmation:
            confirms = _start([self._confirm(admitted, key)])
            if not self._is_view_current():
                confirms |= self._ask_to_confirm(holders, key, pool)
        has_asked_to_confirm = len(confirms) > 1
        contradict_by_ms = math.inf
        try:
            while asks or (confirms and lookup.needs_confirmation):
                done = await self._wait(asks | confirms, until_ms=contradict_by_ms)
                if not done:
                    break
                for task in done:
                    answered = task.result()
                    if answered is not None:
                        lookup.add(*answered)
                    elif task in confirms and not has_asked_to_confirm:
                        has_asked_to_confirm = True
                        confirms |= self._ask_to_confirm(holders, key, pool)
                asks, confirms = asks - done, confirms - done
                if lookup.is_settled:
                    break
                if lookup.record is not None:
                    # Its sender may have missed that of another stream of the id.
                    latest_ms = self._timers.now_ms() + CONFIRM_TIMEOUT_MS
                    contradict_by_ms = min(contradict_by_ms, latest_ms)
        finally:
            for task in asks | confirms:
                task.cancel()
        return lookup

    async def _wait(self, tasks: _Tasks, *, until_ms: float) -> _Tasks:
        """Return the first tasks that are done, or none after a time."""
        if until_ms == math.inf:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return done
        with suppress(TimeoutError):
            async with settled_timeout(max(0.0, until_ms - self._timers.now_ms())):
                return await self._wait(tasks, until_ms=math.inf)
        return set()

    async def _confirm(self, admitted: AdmittedCall, key: int) -> _Answered:
        """Return this node's answer once the store has confirmed the versions."""
        request = self._confirmation.request()
        await asyncio.wait({request}, timeout=STORE_CONFIRM_TIMEOUT_MS / MS_PER_S)
        if not request.done() or not request.result():
            return None
        return OWN, self._own_answer(admitted, key, is_confirmed=True)

    def _ask_to_confirm(self, holders: list[Node], key: int, pool: int) -> _Tasks:
        """Ask peers that may reach the store although this node does not."""
        return _start(
            self._ask(node, key, pool, STORE_CONFIRM_TIMEOUT_MS, must_confirm=True)
            for node in holders
        )

    async def _ask(
        self,
        node: Node,
        key: int,
        pool: int,
        timeout_ms: float,
        *,
        must_confirm: bool = False,
    ) -> _Answered:
        ask = StreamAsk(self._socket.next_ask_id(), key, pool, must_confirm)
        with suppress(TimeoutError):
            reply = await self._socket.request(
                node, ask, reply_type=StreamReply, timeout_ms=timeout_ms
            )
            now_ms = self._timers.now_ms()
            record = to_record(reply.notes[0], now_ms=now_ms) if reply.notes else None
            return node.node_id, LookupAnswer(
                record,
                tuple(reply.versions),
                reply.observed_ms,
                reply.observed_from_version,
                reply.runners_version,
                reply.is_confirmed,
            )
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

    def _knows_places(self, admitted: AdmittedCall) -> bool:
        """Return whether another pool of the route would be known.

        A route may have moved before this node knew it, or while all nodes were down.
        """
        if self._version_archive.has_places:
            return True
        max_age_ms = admitted.route.timeout_ms + RETURN_MARGIN_MS
        now_ms = self._timers.now_ms()
        return self._route_pools.observed_ms(now_ms=now_ms) >= max_age_ms

    def _own_answer(
        self, admitted: AdmittedCall, key: int, *, is_confirmed: bool = False
    ) -> LookupAnswer:
        pool = hash_text(admitted.pool)
        answer = self._answer(key, pool, is_confirmed=is_confirmed)
        if self._knows_places(admitted):
            return answer
        return answer._replace(versions=(*answer.versions, UNKNOWN_VERSION))

    def _answer(
        self, key: int, pool_hash: int, *, is_confirmed: bool = False
    ) -> LookupAnswer:
        now_ms = self._timers.now_ms()
        record = self._records.find(key, now_ms=now_ms) if key else None
        pool = self._pool_names.get(pool_hash)
        versions = [] if pool is None else self._versions.recent(pool, now_ms=now_ms)
        if pool is not None and (
            self._table.has_doubtful_runner(pool)
            or self._route_pools.is_shared(pool, now_ms=now_ms)
        ):
            versions.append(UNKNOWN_VERSION)
        return LookupAnswer(
            record,
            tuple(versions),
            self._versions.observed_ms(now_ms=now_ms),
            self._versions.from_revision,
            self._confirmation.revision,
            is_confirmed,
        )

    def _receive_ask(self, received: PeerMessage) -> None:
        ask: StreamAsk = received.message
        if not ask.must_confirm:
            self._reply(received.peer, ask, is_confirmed=False)
            return
        self._confirmation.request().add_done_callback(
            lambda request: self._reply(
                received.peer, ask, is_confirmed=_is_successful(request)
            )
        )

    def _reply(self, peer: PeerAddress, ask: StreamAsk, *, is_confirmed: bool) -> None:
        answer = self._answer(ask.key, ask.pool, is_confirmed=is_confirmed)
        now_ms = self._timers.now_ms()
        notes = []
        if answer.record is not None:
            notes.append(to_note(ask.key, answer.record, now_ms=now_ms))
        reply = StreamReply(
            ask.ask_id,
            notes,
            list(answer.versions),
            round(answer.observed_ms),
            answer.revision,
            answer.from_revision,
            answer.is_confirmed,
        )
        self._socket.send(peer, reply)


def describe_resumed(admitted: AdmittedCall) -> str | None:
    """Return the attempt that a caller resumes, cut to a length fit for a log."""
    resumes = admitted.call.resumes
    return None if resumes is None else resumes[:MAX_LOGGED_ID_LENGTH]


def _start(coroutines: Iterable[Coroutine[Any, Any, _Answered]]) -> _Tasks:
    return {asyncio.ensure_future(coroutine) for coroutine in coroutines}


def _is_successful(request: asyncio.Future[bool]) -> bool:
    is_done = not request.cancelled() and request.exception() is None
    return is_done and request.result()


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
