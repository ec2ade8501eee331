"""Confirms with the store that no software version of a pool has been missed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_node.platform.entry_codec import decode_runner
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import HistoryGoneError, StoreError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.platform.store_page import StoredEntry
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
MIN_INTERVAL_MS = 100.0
"""Shortest time between two reads. Many callers come back at once, and the platform
charges for each call."""
FAILURE_PAUSE_MS = 250.0
"""Time after a failed read in which none begins; lookups ask peers meanwhile."""
MAX_OPEN_READS = 5
"""Reads that a slow store may leave open at once."""
STEP = "confirm_versions"


class VersionConfirmation:
    """Read the changes of the runners that this node has not heard of yet.

    The age of the list of runners does not tell that a version is missing from it: a
    version may have been listed since, and a message that has waited in a socket says
    that the list was confirmed later than it was. Only an answer of the store to a read
    that began after the question excludes both.

    What is read is used for the versions only. The list of runners is updated by
    ``StoreWatcher``, which can tell whether an entry has ended or lapsed in an outage.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        timers: TimerService,
        region: str,
        listed_revision: Callable[[], int],
        on_gap: Callable[[int], None],
        on_versions: Callable[[dict[str, set[str]]], None],
    ) -> None:
        """Create a confirmation.

        ``listed_revision`` returns the revision of this node's list of runners.
        ``on_gap`` is called with the revision of a list that skips changes, before
        ``on_versions`` is called with the versions that were read, by pool.
        """
        self._store = store
        self._timers = timers
        self._region = region
        self._listed_revision = listed_revision
        self._on_gap = on_gap
        self._on_versions = on_versions
        self._read_revision = 0
        self._last_read_ms = -MIN_INTERVAL_MS
        self._failed_ms = -FAILURE_PAUSE_MS
        self._open_reads = 0
        self._next: asyncio.Future[bool] | None = None
        """The read that has not begun yet."""
        self._reads: set[asyncio.Future[bool]] = set()

    @property
    def revision(self) -> int:
        """The revision of the store up to which this node knows all versions."""
        return max(self._read_revision, self._listed_revision())

    def request(self) -> asyncio.Future[bool]:
        """Return whether the store confirms the versions, by a read that begins now.

        Requests that come before the read begins share it. The future must not be
        cancelled.
        """
        if self._next is None:
            self._next = asyncio.ensure_future(self._run())
            self._reads.add(self._next)
            self._next.add_done_callback(self._reads.discard)
        return self._next

    async def _run(self) -> bool:
        wait_ms = self._last_read_ms + MIN_INTERVAL_MS - self._timers.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / MS_PER_S)
        self._next = None
        if not self.revision or not self._may_read():
            return False
        self._last_read_ms = self._timers.now_ms()
        self._open_reads += 1
        try:
            await self._read()
        except StoreError as error:
            self._failed_ms = self._timers.now_ms()
            log_event(Event.PLATFORM_AWAY, step=STEP, reason=error.reason)
            return False
        finally:
            self._open_reads -= 1
        return True

    def _may_read(self) -> bool:
        has_failed = self._timers.now_ms() - self._failed_ms < FAILURE_PAUSE_MS
        return not has_failed and self._open_reads < MAX_OPEN_READS

    async def _read(self) -> None:
        kind, known = names.RUNNERS_KIND, self.revision
        try:
            update = await self._store.watch(kind, revision=known, wait_ms=0)
            revision = update.revision
            entries = [c.entry for c in update.changes if not c.is_deleted]
        except HistoryGoneError:
            entries, revision = await self._store.list_all(kind)
            if revision > self.revision:
                self._on_gap(revision)
        self._on_versions(self._versions_of(entries))
        self._read_revision = max(self._read_revision, revision)

    def _versions_of(self, entries: Iterable[StoredEntry]) -> dict[str, set[str]]:
        versions: dict[str, set[str]] = {}
        for entry in entries:
            try:
                runner = decode_runner(entry, region=self._region).runner
            except FormatError:
                continue  # no node sends calls to it
            versions.setdefault(runner.pool, set()).add(runner.version)
        return versions
