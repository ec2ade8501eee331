"""Consistent-hash ring with a fixed number of points for each member."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from typing import TYPE_CHECKING

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

DEFAULT_POINTS_PER_MEMBER = 64
MAX_MEMBERS = 2**16
"""Owners of points are stored as 16-bit numbers."""


class HashRing:
    """Order members by key so that a join or leave moves few keys.

    A lookup costs one bisection. ``set_members`` updates only what changed, at the cost
    of one copy of the points. Sorting all points again takes 3.3 ms for 75 members, and
    nodes answered callers late during a rollout of 49 runners.
    """

    def __init__(self, *, points_per_member: int = DEFAULT_POINTS_PER_MEMBER) -> None:
        self._points_per_member = points_per_member
        self._members: tuple[str, ...] = ()
        # Arrays take 0.7 kB per member; a list of pairs would take 7 kB.
        self._points = array("Q")
        self._owners = array("H")
        self._numbers: dict[str, int] = {}
        """Number that stands for a member in ``_owners`` while it is on the ring."""
        self._names: dict[int, str] = {}

    @property
    def members(self) -> tuple[str, ...]:
        """The current members, sorted."""
        return self._members

    def set_members(self, members: Iterable[str]) -> bool:
        """Replace the members; return whether anything changed."""
        new_members = tuple(sorted(set(members)))
        if new_members == self._members:
            return False
        current = self._numbers.keys()
        departed = current - set(new_members)
        joined = [member for member in new_members if member not in current]
        if departed:
            self._remove(departed)
        if joined:
            self._insert(joined)
        self._members = new_members
        return True

    def first(self, key: int) -> str | None:
        """Return the member that owns a 64-bit key, or None on an empty ring."""
        if not self._members:
            return None
        index = bisect_right(self._points, key) % len(self._points)
        return self._names[self._owners[index]]

    def order(self, key: int) -> Iterator[str]:
        """Yield every member once in ring order, from the owner of the key on.

        The order is that of the members at its first step, also if they change later.
        """
        owners = self._owners
        names = self._names
        size = len(owners)
        start = bisect_right(self._points, key)
        seen: set[int] = set()
        for step in range(size):
            owner = owners[(start + step) % size]
            if owner in seen:
                continue
            seen.add(owner)
            yield names[owner]
            if len(seen) == len(names):
                return

    def _remove(self, departed: set[str]) -> None:
        removed: list[int] = []
        self._names = self._names.copy()  # orders that are being read keep the old one
        for member in departed:
            number = self._numbers.pop(member)
            del self._names[number]
            removed.extend(self._positions_of(number))
        points, owners = array("Q"), array("H")
        start_index = 0
        for position in sorted(removed):
            points.extend(self._points[start_index:position])
            owners.extend(self._owners[start_index:position])
            start_index = position + 1
        points.extend(self._points[start_index:])
        owners.extend(self._owners[start_index:])
        self._points, self._owners = points, owners

    def _positions_of(self, number: int) -> list[int]:
        positions: list[int] = []
        next_position = 0
        for _ in range(self._points_per_member):
            position = self._owners.index(number, next_position)
            positions.append(position)
            next_position = position + 1
        return positions

    def _insert(self, joined: list[str]) -> None:
        """Merge the points of new members into the sorted points."""
        new_points: list[tuple[int, int]] = []
        self._names = self._names.copy()
        for member in joined:
            number = self._assign_number(member)
            new_points.extend((point, number) for point in self._hash_points(member))
        new_points.sort()
        points, owners = array("Q"), array("H")
        start_index = 0
        for point, number in new_points:
            index = bisect_right(self._points, point, start_index)
            points.extend(self._points[start_index:index])
            owners.extend(self._owners[start_index:index])
            points.append(point)
            owners.append(number)
            start_index = index
        points.extend(self._points[start_index:])
        owners.extend(self._owners[start_index:])
        self._points, self._owners = points, owners

    def _assign_number(self, member: str) -> int:
        number = len(self._names)
        while number in self._names:
            number = (number + 1) % MAX_MEMBERS
        self._numbers[member] = number
        self._names[number] = member
        return number

    def _hash_points(self, member: str) -> list[int]:
        return [
            hash_text(f"{member}#{index}") for index in range(self._points_per_member)
        ]
