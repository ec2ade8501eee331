"""Software versions that the runners of each pool have had recently."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.streams.stream_records import MAX_TTL_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

RETENTION_MS = MAX_TTL_MS
"""How long a version counts after its last runner has gone: as long as streams that it
began may be resumed."""


class SeenVersion(NamedTuple):
    """A version of a pool, as one node tells it to another."""

    pool: str
    version: str
    age_ms: int
    """Time since a runner of this version was listed."""


class VersionHistory(NamedTuple):
    """What one node knows of the versions of all pools."""

    observed_ms: int = 0
    """For how long the versions are known."""
    versions: tuple[SeenVersion, ...] = ()


class PoolVersions:
    """Remember the versions of each pool for as long as streams may be resumed.

    While all runners of a pool have had the same version for that time, every stream
    of the pool was begun by it, whichever node has carried the stream.
    """

    def __init__(self) -> None:
        self._listed: dict[str, frozenset[str]] = {}
        self._last_seen_ms: dict[str, dict[str, float]] = {}
        """Time until which each former version of a pool was listed."""
        self._observed_since_ms = math.inf
        self.from_revision = 0
        """The revision of the store from which this node has missed no version."""
        self.has_history = False
        """Whether a peer has told what it knows of former versions."""

    def update(
        self,
        listed: Mapping[str, Iterable[str]],
        *,
        now_ms: float,
        revision: int = 0,
    ) -> dict[str, list[str]]:
        """Set the versions of the listed runners of each pool, draining ones included.

        Returns the recent versions of each pool for which they have changed.
        """
        if self._observed_since_ms == math.inf:
            self.from_revision = revision
        self._observed_since_ms = min(self._observed_since_ms, now_ms)
        before = {pool: self.recent(pool, now_ms=now_ms) for pool in listed}
        new = {pool: frozenset(versions) for pool, versions in listed.items()}
        for pool, versions in self._listed.items():
            for version in versions - new.get(pool, frozenset()):
                self._last_seen_ms.setdefault(pool, {})[version] = now_ms
        self._listed = new
        after = {pool: self.recent(pool, now_ms=now_ms) for pool in listed}
        return {pool: after[pool] for pool in listed if after[pool] != before[pool]}

    def add(
        self, versions: Mapping[str, Iterable[str]], *, now_ms: float
    ) -> dict[str, list[str]]:
        """Add versions that are or were listed in the store, in no list of this node.

        Returns the recent versions of each pool for which they have changed.
        """
        before = {pool: self.recent(pool, now_ms=now_ms) for pool in versions}
        for pool, added in versions.items():
            former = self._last_seen_ms.setdefault(pool, {})
            former.update(dict.fromkeys(added, now_ms))
        after = {pool: self.recent(pool, now_ms=now_ms) for pool in versions}
        return {pool: after[pool] for pool in after if after[pool] != before[pool]}

    def recent(self, pool: str, *, now_ms: float) -> list[str]:
        """Return the versions that may have begun streams that can be resumed."""
        former = {
            version
            for version, seen_ms in self._last_seen_ms.get(pool, {}).items()
            if now_ms - seen_ms < RETENTION_MS
        }
        return sorted(self._listed.get(pool, frozenset()) | former)

    def is_mixed(self, pool: str, *, now_ms: float) -> bool:
        """Return whether streams of several versions may be resumed in a pool."""
        return len(self.recent(pool, now_ms=now_ms)) > 1

    def all_recent(self, *, now_ms: float) -> dict[str, list[str]]:
        """Return the versions of all pools that may have begun streams."""
        pools = sorted(self._listed.keys() | self._last_seen_ms.keys())
        recent = {pool: self.recent(pool, now_ms=now_ms) for pool in pools}
        return {pool: versions for pool, versions in recent.items() if versions}

    def mixed_pools(self, *, now_ms: float) -> list[str]:
        """Return the pools in which streams of several versions may be resumed."""
        recent = self.all_recent(now_ms=now_ms)
        return [pool for pool, versions in recent.items() if len(versions) > 1]

    def record_gap(self, *, now_ms: float, revision: int) -> None:
        """Record that versions may have come and gone unseen up to a revision."""
        self._observed_since_ms = now_ms
        self.from_revision = revision

    def observed_ms(self, *, now_ms: float) -> float:
        """Return for how long the versions are known, up to the retention time."""
        return max(0.0, min(RETENTION_MS, now_ms - self._observed_since_ms))

    def history(self, *, now_ms: float) -> VersionHistory:
        """Return what a node that has just started needs to know.

        The listed versions are part of it: their runners may have gone before that
        node reads its first list.
        """
        versions = [
            SeenVersion(pool, version, 0)
            for pool, listed in self._listed.items()
            for version in sorted(listed)
        ]
        versions += [
            SeenVersion(pool, version, round(now_ms - seen_ms))
            for pool, former in self._last_seen_ms.items()
            for version, seen_ms in former.items()
            if now_ms - seen_ms < RETENTION_MS
            and version not in self._listed.get(pool, frozenset())
        ]
        return VersionHistory(round(self.observed_ms(now_ms=now_ms)), tuple(versions))

    def adopt(self, history: VersionHistory, *, now_ms: float) -> None:
        """Adopt a peer's knowledge of former versions."""
        self.has_history = True
        for pool, version, age_ms in history.versions:
            former = self._last_seen_ms.setdefault(pool, {})
            former[version] = max(former.get(version, -math.inf), now_ms - age_ms)
        since_ms = now_ms - history.observed_ms
        self._observed_since_ms = min(self._observed_since_ms, since_ms)

    def drop_expired(self, *, now_ms: float) -> None:
        """Remove the versions whose streams cannot be resumed any more."""
        for pool, former in list(self._last_seen_ms.items()):
            kept = {v: ms for v, ms in former.items() if now_ms - ms < RETENTION_MS}
            if kept:
                self._last_seen_ms[pool] = kept
            else:
                del self._last_seen_ms[pool]
