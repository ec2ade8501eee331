"""Keep refused requests in the platform's store, for when all nodes start anew."""

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
MOST_WRITES_A_ROUND = 4
"""Calls to the store at a time: such requests are few, and peers know them at once."""
RETRY_PAUSE_MS = 2_000.0
"""After a call that failed: the store is away, and has enough to do when it is back."""


class CrashArchive:
    """Own what the store holds of refused requests.

    After a loss of power nobody is left who could tell, and a refused request would end
    three more runners. The first home of each writes it down, one object and two calls
    for as long as it is refused. Only watchers of the store read these objects, once,
    when they start; all others learn from them.
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
        self._crashes = crash_tracker
        self._timers = timers
        self._has_duty = is_watcher
        self._paused_until_ms = 0.0
        self._written: dict[bytes, int] = {}
        """Ends under each request as they were last written."""

    async def load_after(self, entered: asyncio.Event) -> None:
        """Read what is kept, once it is known who watches the store."""
        await entered.wait()
        while self._has_duty():
            try:
                await self._read()
            except StoreError as error:
                log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)
                await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_S)
                continue
            return

    async def run_round(self) -> None:
        """Write and remove what is due."""
        if self._timers.now_ms() < self._paused_until_ms:
            return
        try:
            await self._write()
        except StoreError as error:
            self._paused_until_ms = self._timers.now_ms() + RETRY_PAUSE_MS
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _read(self) -> None:
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
                # Its home has not lived to remove it.
                await self._store.delete(names.CRASHES_KIND, entry.name)
        self._crashes.tell_notes(notes)

    async def _write(self) -> None:
        refused = self._crashes.refused_here()
        due = [
            digest
            for digest, record in refused.items()
            if self._written.get(digest) != record.crashes
        ]
        for digest in due[:MOST_WRITES_A_ROUND]:
            await self._put(digest, refused[digest])
            self._written[digest] = refused[digest].crashes
        over = [
            digest
            for digest in self._written
            if digest not in refused and not self._crashes.is_refused(digest)
        ]
        for digest in over[:MOST_WRITES_A_ROUND]:
            await self._store.delete(names.CRASHES_KIND, digest.hex())
            del self._written[digest]

    async def _put(self, digest: bytes, record: CrashRecord) -> None:
        age_ms = self._timers.now_ms() - record.last_ms
        spec = encode_crash(record, ended_at_ms=round(self._timers.wall_ms() - age_ms))
        try:
            await self._store.create(names.CRASHES_KIND, digest.hex(), spec)
        except RevisionConflictError:
            # Of an earlier time, or of a home before this one.
            await self._store.replace(names.CRASHES_KIND, digest.hex(), spec)
