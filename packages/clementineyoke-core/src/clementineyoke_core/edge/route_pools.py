"""Pools that have shared a route with others while streams may be resumed."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from clementineyoke_core.edge.streams.pool_versions import RETENTION_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from clementineyoke_core.edge.route import Route


class RoutePools:
    """Remember which pools have served the same calls lately.

    A stream that was begun in one pool of a route, or before the route moved, is
    resumed in another pool otherwise, whose runners may have another version.
    """

    def __init__(self) -> None:
        self._current: dict[str, set[str]] = {}
        """Pools of each place, which is what calls are matched by.

        The name of a route may change when it moves.
        """
        self._former: dict[str, dict[str, float]] = defaultdict(dict)
        """Time at which each pool has left a place."""
        self._shared_until_ms: dict[str, float] = {}
        self._observed_since_ms = math.inf

    def update(self, routes: Iterable[Route], *, now_ms: float) -> list[str]:
        """Set the routes; return the pools that share one, and did not before."""
        self._observed_since_ms = min(self._observed_since_ms, now_ms)
        current: dict[str, set[str]] = defaultdict(set)
        for route in routes:
            if route.is_resumable:
                # A host name has no slash, with which each prefix begins.
                place = f"{route.hostname}{route.path_prefix}"
                current[place].update(entry.pool for entry in route.pools)
        for place, pools in self._current.items():
            for pool in pools - current.get(place, set()):
                self._former[place][pool] = now_ms
        self._current = dict(current)
        return self._find_shared(now_ms=now_ms)

    def adopt(self, recent: Mapping[str, Iterable[str]], *, now_ms: float) -> list[str]:
        """Adopt the pools that places had before this node knew the routes.

        Returns the pools that share a route, and did not before.
        """
        for place, pools in recent.items():
            for pool in set(pools) - self._current.get(place, set()):
                self._former[place][pool] = now_ms
        return self._find_shared(now_ms=now_ms)

    def recent(self, *, now_ms: float) -> dict[str, list[str]]:
        """Return the pools of each place that may have begun streams."""
        self._drop_expired(now_ms=now_ms)
        places = sorted(self._current.keys() | self._former.keys())
        return {
            place: sorted(
                self._current.get(place, set()) | self._former.get(place, {}).keys()
            )
            for place in places
        }

    def observed_ms(self, *, now_ms: float) -> float:
        """Return for how long this node has known the routes."""
        return max(0.0, now_ms - self._observed_since_ms)

    def is_shared(self, pool: str, *, now_ms: float) -> bool:
        """Return whether another pool may have begun a stream that is resumed here."""
        return now_ms < self._shared_until_ms.get(pool, -math.inf)

    def shared(self, *, now_ms: float) -> set[str]:
        """Return all pools of which that is so."""
        pools = self._shared_until_ms
        return {pool for pool in pools if self.is_shared(pool, now_ms=now_ms)}

    def _find_shared(self, *, now_ms: float) -> list[str]:
        before = self.shared(now_ms=now_ms)
        self._drop_expired(now_ms=now_ms)
        self._shared_until_ms = {}
        for place, pools in self._current.items():
            self._add_shared(pools, self._former.get(place, {}))
        return sorted(self.shared(now_ms=now_ms) - before)

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
