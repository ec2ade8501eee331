"""Keeps the recent versions and routes of each pool in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.streams.pool_versions import (
    RETENTION_MS,
    SeenVersion,
    VersionHistory,
)
from clementineyoke_core.lifetime_doubts import LifetimeDoubt
from clementineyoke_node.platform import names
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import (
    ObjectMissingError,
    RevisionConflictError,
    StoreError,
)
from clementineyoke_node.platform.stream_codec import (
    ArchivedPools,
    decode_pools,
    encode_pools,
)
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

    from clementineyoke_core.edge.route_pools import RoutePools
    from clementineyoke_core.edge.streams.pool_versions import PoolVersions
    from clementineyoke_core.lifetime_doubts import LifetimeDoubts
    from clementineyoke_node.platform.store_client import StoreClient
    from clementineyoke_node.timers.timer_service import TimerService

RETRY_DELAY_MS = 250.0


class VersionArchive:
    """Write which versions and pools may have begun streams; read it after a start.

    If all nodes end, no peer can tell a starting node of a version whose runners went
    meanwhile, or of the pool that a route used, and their streams would go on at
    another version. Nor can one tell it that a runner may have restarted although its
    entry names the version before. A few nodes write; each reads the object first, so
    that none removes what another has added.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        versions: PoolVersions,
        route_pools: RoutePools,
        doubts: LifetimeDoubts,
        timers: TimerService,
        is_writer: Callable[[], bool],
        on_shared: Callable[[str], None],
    ) -> None:
        """Create an archive.

        ``is_writer`` tells whether this node is to write. ``on_shared`` is called with
        each pool that turns out to have shared a route.
        """
        self._store = store
        self._versions = versions
        self._route_pools = route_pools
        self._doubts = doubts
        self._timers = timers
        self._is_writer = is_writer
        self._on_shared = on_shared
        self._written: ArchivedPools | None = None
        """What is stored, as last read or written here."""
        self._is_loaded = False
        """Whether all that is stored is known here."""
        self._has_places = False
        self._load_lock = asyncio.Lock()
        self._paused_until_ms = 0.0

    @property
    def has_places(self) -> bool:
        """Whether this node knows the stored places of the pools."""
        return self._is_loaded and self._has_places

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
        """Adopt what is stored and return its revision, 0 without an object.

        Without an object no version has been listed yet. Raises ``StoreError``.
        """
        listed = await self._store.list_all(names.VERSIONS_KIND)
        stored = ArchivedPools({}, {})
        revision = 0
        for entry in listed.entries:
            if entry.name != names.VERSIONS_NAME:
                continue
            revision = entry.revision
            try:
                stored = decode_pools(entry)
            except FormatError as error:
                log_event(Event.HOST_REFUSED, host=error.peer, reason=error.reason)
                return revision
        # What was read before may have expired here since, and is then to be removed,
        # unless it may have come back unseen.
        known = self._written if self._is_loaded else None
        self._adopt(stored, known or ArchivedPools({}, {}))
        self._written = stored
        self._has_places = stored.places is not None
        self._is_loaded = True
        return revision

    def _adopt(self, stored: ArchivedPools, known: ArchivedPools) -> None:
        now_ms = self._timers.now_ms()
        seen = tuple(
            SeenVersion(pool, version, 0)
            for pool, version in _added(stored.versions, known.versions)
        )
        history = VersionHistory(round(RETENTION_MS), seen)
        self._versions.adopt(history, now_ms=now_ms)
        places: dict[str, list[str]] = {}
        for place, pool in _added(stored.places or {}, known.places or {}):
            places.setdefault(place, []).append(pool)
        for pool in self._route_pools.adopt(places, now_ms=now_ms):
            self._on_shared(pool)
        for lifetime in set(stored.doubts) - set(known.doubts):
            # This node may have connected to the next lifetime ever since its start.
            doubt = LifetimeDoubt(lifetime, first_age_ms=now_ms, last_age_ms=0.0)
            self._doubts.adopt(doubt, now_ms=now_ms)

    def _recent(self) -> ArchivedPools:
        now_ms = self._timers.now_ms()
        return ArchivedPools(
            self._versions.all_recent(now_ms=now_ms),
            self._route_pools.recent(now_ms=now_ms),
            tuple(sorted(doubt.lifetime for doubt in self._doubts.view(now_ms=now_ms))),
        )

    async def run_round(self) -> None:
        """Write what has changed if this node is a writer."""
        if self._timers.now_ms() < self._paused_until_ms or not self._is_writer():
            return
        try:
            await self._write_changes()
        except (RevisionConflictError, ObjectMissingError):
            return  # another node writes as well; its object is read in the next round
        except StoreError as error:
            self._paused_until_ms = self._timers.now_ms() + RETRY_DELAY_MS
            log_event(Event.PLATFORM_AWAY, step=error.step, reason=error.reason)

    async def _write_changes(self) -> None:
        recent = self._recent()
        if recent.versions and recent != self._written:
            await self._write()

    async def _write(self) -> None:
        revision = await self._load()
        recent = self._recent()
        if recent == self._written:
            return
        kind, name = names.VERSIONS_KIND, names.VERSIONS_NAME
        spec = encode_pools(recent)
        if revision:
            await self._store.replace(kind, name, spec, revision=revision)
        else:
            await self._store.create(kind, name, spec)
        self._written = recent
        log_event(Event.VERSIONS_STORED, versions=recent.versions)


def _added(
    stored: Mapping[str, Iterable[str]], known: Mapping[str, Sequence[str]]
) -> Iterator[tuple[str, str]]:
    """Return what is stored beside what was known, with its key."""
    for key, values in stored.items():
        for value in values:
            if value not in known.get(key, ()):
                yield key, value
