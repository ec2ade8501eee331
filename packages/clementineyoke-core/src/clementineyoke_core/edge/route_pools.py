"""Pools that have shared a route with others while streams may be resumed."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.pool_versions import RETENTION_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.edge.route import Route


class _Place(NamedTuple):
    """What calls are matched by; the name of a route may change when it moves."""

    hostname: str
    path_prefix: str


class RoutePools:
    """Remember which pools have served the same calls lately.

    A stream that was begun in one pool of a route, or before the route moved, is
    resumed in another pool otherwise, whose runners may have another version.
    """

    def __init__(self) -> None:
        self._current: dict[_Place, set[str]] = {}
        self._former: dict[_Place, dict[str, float]] = defaultdict(dict)
        """Time at which each pool has left a route."""
        self._shared_until_ms: dict[str, float] = {}

    def update(self, routes: Iterable[Route], *, now_ms: float) -> list[str]:
        """Set the routes; return the pools that share one, and did not before."""
        before = self.shared(now_ms=now_ms)
        current: dict[_Place, set[str]] = defaultdict(set)
        for route in routes:
            if route.is_resumable:
                place = _Place(route.hostname, route.path_prefix)
                current[place].update(entry.pool for entry in route.pools)
        for place, pools in self._current.items():
            for pool in pools - current.get(place, set()):
                self._former[place][pool] = now_ms
        self._current = dict(current)
        self._drop_expired(now_ms=now_ms)
        self._shared_until_ms = {}
        for place, pools in self._current.items():
            self._add_shared(pools, self._former.get(place, {}))
        return sorted(self.shared(now_ms=now_ms) - before)

    def is_shared(self, pool: str, *, now_ms: float) -> bool:
        """Return whether another pool may have begun a stream that is resumed here."""
        return now_ms < self._shared_until_ms.get(pool, -math.inf)

    def shared(self, *, now_ms: float) -> set[str]:
        """Return all pools of which that is so."""
        pools = self._shared_until_ms
        return {pool for pool in pools if self.is_shared(pool, now_ms=now_ms)}

    def _add_shared(self, current: set[str], former: dict[str, float]) -> None:
        pools = current | former.keys()
        if len(pools) == 1:
            return
        is_split = len(current) > 1
        until_ms = math.inf if is_split else max(former.values()) + RETENTION_MS
        for pool in pools:
            known_ms = self._shared_until_ms.get(pool, -math.inf)
            self._shared_until_ms[pool] = max(known_ms, until_ms)

    def _drop_expired(self, *, now_ms: float) -> None:
        for place, former in list(self._former.items()):
            kept = {p: t for p, t in former.items() if now_ms - t < RETENTION_MS}
            if kept:
                self._former[place] = kept
            else:
                del self._former[place]
