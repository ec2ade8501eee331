"""A consistent-hash ring with a fixed number of points for each member."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

DEFAULT_POINTS_PER_MEMBER = 64


class HashRing:
    """Order members by key so that a join or leave moves few keys.

    A lookup costs one bisection. ``replace`` hashes only members it has not seen:
    a flapping member costs a merge of sorted runs, not a rebuild.
    """

    def __init__(self, *, points_per_member: int = DEFAULT_POINTS_PER_MEMBER) -> None:
        self._points_per_member = points_per_member
        self._members: tuple[str, ...] = ()
        self._pairs: list[tuple[int, str]] = []
        self._points = array("Q")

    @property
    def members(self) -> tuple[str, ...]:
        """The members in force, sorted."""
        return self._members

    def replace(self, members: Iterable[str]) -> bool:
        """Take a new set of members; return whether anything changed."""
        wanted = tuple(sorted(set(members)))
        if wanted == self._members:
            return False
        kept = set(wanted)
        known = set(self._members)
        pairs = [pair for pair in self._pairs if pair[1] in kept]
        for member in wanted:
            if member not in known:
                pairs.extend(self._hash_points(member))
        pairs.sort()
        self._pairs = pairs
        self._points = array("Q", (point for point, _ in pairs))
        self._members = wanted
        return True

    def first(self, key: int) -> str | None:
        """Return the member that owns a 64-bit key, or None on an empty ring."""
        if not self._pairs:
            return None
        index = bisect_right(self._points, key) % len(self._pairs)
        return self._pairs[index][1]

    def order(self, key: int) -> Iterator[str]:
        """Yield every member once, the owner of the key first."""
        pairs = self._pairs
        size = len(pairs)
        start = bisect_right(self._points, key)
        seen: set[str] = set()
        for step in range(size):
            member = pairs[(start + step) % size][1]
            if member in seen:
                continue
            seen.add(member)
            yield member
            if len(seen) == len(self._members):
                return

    def _hash_points(self, member: str) -> list[tuple[int, str]]:
        return [
            (hash_text(f"{member}#{index}"), member)
            for index in range(self._points_per_member)
        ]
