"""Persists refused requests in the platform's store, for a restart of all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.crash_records import RETENTION_MS
from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_crash, encode_crash
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import RevisionConflictError, StoreError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.crash_records import CrashRecord
    from clementineyoke_node.edge.crash_tracker import CrashTracker
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.messages import CrashNote

MS_PER_S = 1000.0
MAX_WRITES_PER_ROUND = 4
"""Limits the writes, and the deletions, per round: refused requests are few, and the
peers know them at once."""
RETRY_DELAY_MS = 2_000.0
"""Delay after a failed call to the store, so that a store that recovers is not
overloaded."""


class CrashArchive:
    """Keeps the store's records of refused requests up to date.

    After a power failure no node has a record in memory, and a refused request would
    crash three more runners. The first home node of each request stores it, as one
    object and with two calls to the store per refusal. Only nodes that watch the store
    read these objects, once at their start; they notify the others.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        crash_tracker: CrashTracker,
        timers: TimerService,
        is_watcher: Callable[[], bool],
    ) -> None:
        self._store = store
        self._crash_tracker = crash_tracker
        self._timers = timers
        self._is_watcher = is_watcher
        self._paused_until_ms = 0.0
        self._written: dict[bytes, int] = {}
        """Number of crashes last written for each request, by its digest."""

    async def load_after(self, registered: asyncio.Event) -> None:
        """Load the stored records once it is known which nodes watch the store."""
        await registered.wait()
        while self._is_watcher():
            try:
                await self._load()
            except StoreError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_DELAY_MS / MS_PER_S)
                continue
            return

    async def run_round(self) -> None:
        """Store new refusals and delete the objects of those that are over."""
        if self._timers.now_ms() < self._paused_until_ms:
            return
        try:
            await self._sync()
        except StoreError as error:
            self._paused_until_ms = self._timers.now_ms() + RETRY_DELAY_MS
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _load(self) -> None:
        listed = await self._store.list_all(names.CRASHES_KIND)
        notes: list[CrashNote] = []
        for entry in listed.entries:
            try:
                note = decode_crash(entry, wall_ms=self._timers.wall_ms())
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
                continue
            if note.age_ms < RETENTION_MS:
                notes.append(note)
            else:
                # Its home node ended before it could delete the object.
                await self._store.delete(names.CRASHES_KIND, entry.name)
        self._crash_tracker.broadcast_notes(notes)

    async def _sync(self) -> None:
        refused = self._crash_tracker.owned_refusals()
        due = [
            digest
            for digest, record in refused.items()
            if self._written.get(digest) != record.crashes
        ]
        for digest in due[:MAX_WRITES_PER_ROUND]:
            await self._put(digest, refused[digest])
            self._written[digest] = refused[digest].crashes
        expired = [
            digest
            for digest in self._written
            if digest not in refused and not self._crash_tracker.is_refused(digest)
        ]
        for digest in expired[:MAX_WRITES_PER_ROUND]:
            await self._store.delete(names.CRASHES_KIND, digest.hex())
            del self._written[digest]

    async def _put(self, digest: bytes, record: CrashRecord) -> None:
        age_ms = self._timers.now_ms() - record.last_ms
        spec = encode_crash(record, ended_at_ms=round(self._timers.wall_ms() - age_ms))
        try:
            await self._store.create(names.CRASHES_KIND, digest.hex(), spec)
        except RevisionConflictError:
            # Left by an earlier refusal or by a previous home node.
            await self._store.replace(names.CRASHES_KIND, digest.hex(), spec)
