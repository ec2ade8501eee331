"""Keeps the recent versions of each pool in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.pool_versions import (
    RETENTION_MS,
    SeenVersion,
    VersionHistory,
)
from clementineyoke_node.platform import names
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import (
    ObjectMissingError,
    RevisionConflictError,
    StoreError,
)
from clementineyoke_node.platform.stream_codec import decode_versions, encode_versions
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.pool_versions import PoolVersions
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.timers.timer_service import TimerService

RETRY_DELAY_MS = 250.0


class VersionArchive:
    """Write the versions that may have begun streams, and read them after a start.

    If all nodes end, no peer can tell a starting node of a version whose runners went
    meanwhile, and streams of that version would go on at another one. A few nodes
    write; each reads the object first, so that none removes what another has added.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        versions: PoolVersions,
        timers: TimerService,
        is_writer: Callable[[], bool],
    ) -> None:
        """Create an archive; ``is_writer`` tells whether this node is to write."""
        self._store = store
        self._versions = versions
        self._timers = timers
        self._is_writer = is_writer
        self._written: dict[str, list[str]] | None = None
        """The stored versions as last read or written here."""
        self._is_loaded = False
        """Whether all stored versions are known here."""
        self._load_lock = asyncio.Lock()
        self._paused_until_ms = 0.0

    async def ensure_loaded(self) -> None:
        """Adopt the stored versions unless this was done before.

        Many callers come back at once. Raises ``StoreError``.
        """
        async with self._load_lock:
            if not self._is_loaded:
                await self._load()

    def forget(self) -> None:
        """Have the next lookup read the stored versions again.

        This node may have missed some.
        """
        self._is_loaded = False

    async def _load(self) -> int:
        """Adopt the stored versions and return their revision, 0 without an object.

        Without an object no version has been listed yet. Raises ``StoreError``.
        """
        listed = await self._store.list_all(names.VERSIONS_KIND)
        stored: dict[str, list[str]] = {}
        revision = 0
        for entry in listed.entries:
            if entry.name != names.VERSIONS_NAME:
                continue
            revision = entry.revision
            try:
                stored = decode_versions(entry)
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
                return revision
        # What was read before may have expired here since, and is then to be removed,
        # unless it may have come back unseen.
        known = (self._written or {}) if self._is_loaded else {}
        seen = tuple(
            SeenVersion(pool, version, 0)
            for pool, versions in stored.items()
            for version in versions
            if version not in known.get(pool, [])
        )
        history = VersionHistory(round(RETENTION_MS), seen)
        self._versions.adopt(history, now_ms=self._timers.now_ms())
        self._written = stored
        self._is_loaded = True
        return revision

    async def run_round(self) -> None:
        """Write the recent versions if they have changed and this node is a writer."""
        now_ms = self._timers.now_ms()
        recent = self._versions.all_recent(now_ms=now_ms)
        is_due = bool(recent) and recent != self._written
        if not is_due or now_ms < self._paused_until_ms or not self._is_writer():
            return
        try:
            await self._write()
        except (RevisionConflictError, ObjectMissingError):
            return  # another node writes as well; its object is read in the next round
        except StoreError as error:
            self._paused_until_ms = self._timers.now_ms() + RETRY_DELAY_MS
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _write(self) -> None:
        revision = await self._load()
        recent = self._versions.all_recent(now_ms=self._timers.now_ms())
        if recent == self._written:
            return
        kind, name = names.VERSIONS_KIND, names.VERSIONS_NAME
        spec = encode_versions(recent)
        if revision:
            await self._store.replace(kind, name, spec, revision=revision)
        else:
            await self._store.create(kind, name, spec)
        self._written = recent
        log_event(Event.VERSIONS_STORED, versions=recent)
