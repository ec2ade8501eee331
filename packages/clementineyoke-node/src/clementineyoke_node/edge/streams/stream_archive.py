"""Keeps the streams that are under way in pools of several versions in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.streams.stream_records import MAX_TTL_MS, StreamRecord
from clementineyoke_node.platform import names
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import (
    ObjectMissingError,
    RevisionConflictError,
    StoreError,
)
from clementineyoke_node.platform.stream_codec import (
    ArchivedStream,
    decode_streams,
    encode_streams,
)
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.streams.stream_records import StreamRecords
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.timers.timer_service import TimerService

RETRY_DELAY_MS = 1_000.0
WRITE_INTERVAL_MS = 300.0
"""Many streams last for less than a second; each write has its price."""
RELOAD_INTERVAL_MS = 10_000.0
"""Shortest time between two reads for streams that no node knows."""
RETENTION_MS = 15_000.0
"""How long a stream stays in the store: for its events, and its caller's return."""
MAX_STREAMS = 4_096
"""Streams in a writer's object, 120 kB; the latest ones."""


class StreamArchive:
    """Write the streams of all nodes in batches, and read them when needed.

    Two nodes write, each what all nodes tell them, so that the writes do not grow with
    the fleet. The object of a writer is replaced as a whole; no answer waits for that.
    A starting writer first reads what it wrote before, as callers may not have resumed
    it yet.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        node_id: str,
        records: StreamRecords,
        timers: TimerService,
        mixed_pools: Callable[[], set[int]],
        writers: Callable[[], list[str]],
    ) -> None:
        """Create an archive.

        ``mixed_pools`` returns the hashes of the pools' names, ``writers`` the ids of
        the nodes that write.
        """
        self._store = store
        self._node_id = node_id
        self._records = records
        self._timers = timers
        self._mixed_pools = mixed_pools
        self.writers = writers
        self._open: dict[int, float] = {}
        """Streams that this node carries or was told of, and until when they count."""
        self._written: list[ArchivedStream] = []
        self._exists = False
        self._loaded_ms: float | None = None
        self._load_lock = asyncio.Lock()
        self._next_write_ms = 0.0

    def add(self, key: int) -> None:
        """Keep a stream that this node carries or was told of."""
        self._open.pop(key, None)
        self._open[key] = self._timers.now_ms() + RETENTION_MS
        if len(self._open) > MAX_STREAMS:
            del self._open[next(iter(self._open))]

    def discard(self, key: int) -> None:
        """Drop a stream that is complete."""
        self._open.pop(key, None)

    def stores(self, pool: int) -> bool:
        """Return whether the streams of a pool, a hash of its name, are stored."""
        return pool in self._mixed_pools()

    async def load(self) -> bool:
        """Read the streams of all nodes unless this was done lately.

        Return whether they were read since the call; raises ``StoreError``.
        """
        called_ms = self._timers.now_ms()
        async with self._load_lock:
            loaded_ms = self._loaded_ms
            if loaded_ms is None or called_ms - loaded_ms >= RELOAD_INTERVAL_MS:
                await self._load()
        return self._loaded_ms is not None and self._loaded_ms >= called_ms

    async def _load(self) -> None:
        listed = await self._store.list_all(names.STREAMS_KIND)
        is_first = self._loaded_ms is None
        self._loaded_ms = self._timers.now_ms()
        for entry in listed.entries:
            try:
                streams = decode_streams(entry)
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
                continue
            is_own = entry.name == self._node_id
            self._exists = self._exists or is_own
            for stream in streams:
                self._adopt(stream)
                if is_own and is_first:
                    self.add(stream.key)

    async def run_round(self) -> None:
        """Write the streams if this node is a writer and they have changed."""
        now_ms = self._timers.now_ms()
        if now_ms < self._next_write_ms or self._node_id not in self.writers():
            return
        streams = self._streams(now_ms)
        if streams == self._written:
            return
        self._next_write_ms = now_ms + WRITE_INTERVAL_MS
        try:
            await self._write()
        except StoreError as error:
            self._next_write_ms = self._timers.now_ms() + RETRY_DELAY_MS
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _write(self) -> None:
        if self._loaded_ms is None:
            await self.load()
        streams = self._streams(self._timers.now_ms())
        spec = encode_streams(streams)
        try:
            if self._exists:
                await self._store.replace(names.STREAMS_KIND, self._node_id, spec)
            else:
                await self._store.create(names.STREAMS_KIND, self._node_id, spec)
        except ObjectMissingError:
            self._exists = False
            return
        except RevisionConflictError:
            self._exists = True
            return
        self._exists = True
        self._written = streams

    def _streams(self, now_ms: float) -> list[ArchivedStream]:
        self._open = {
            k: ends_ms for k, ends_ms in self._open.items() if ends_ms > now_ms
        }
        mixed = self._mixed_pools()
        if not mixed:
            return []
        found = ((key, self._records.find(key, now_ms=now_ms)) for key in self._open)
        return [
            ArchivedStream(key, record.pool, record.version)
            for key, record in found
            if record is not None and not record.is_ambiguous and record.pool in mixed
        ]

    def _adopt(self, stream: ArchivedStream) -> None:
        now_ms = self._timers.now_ms()
        record = StreamRecord(stream.pool, stream.version, now_ms + MAX_TTL_MS)
        self._records.merge(stream.key, record, now_ms=now_ms)
