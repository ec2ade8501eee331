"""Ranks of the priorities of each pool, as the desired state in force gives them."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.desired_state import DesiredState

MIN_RANKS = 2
"""A pool whose routes have a single priority has nothing to choose between."""


class PriorityRanks:
    """Map priorities to ranks; rank 0 is the most urgent one of a pool.

    The ranks are derived once per desired state. A node with a stale state uses the
    priorities that it knows.
    """

    def __init__(self, *, read_state: Callable[[], DesiredState | None]) -> None:
        """Create the ranks; ``read_state`` returns the desired state in force."""
        self._read_state = read_state
        self._revision = -1
        self._priorities: dict[str, tuple[int, ...]] = {}

    def pools(self) -> set[str]:
        """Return the pools whose routes have at least two priorities."""
        return set(self._current())

    def count(self, pool: str) -> int:
        """Return the number of ranks; 0 for a pool that has fewer than two."""
        return len(self._current().get(pool, ()))

    def rank(self, pool: str, priority: int) -> int:
        """Return the rank of a priority; 0 for a pool without ranks.

        A priority that no route has takes the rank of the next less urgent one, or the
        last rank.
        """
        priorities = self._current().get(pool)
        if priorities is None:
            return 0
        return min(bisect_left(priorities, priority), len(priorities) - 1)

    def _current(self) -> dict[str, tuple[int, ...]]:
        state = self._read_state()
        if state is not None and state.revision != self._revision:
            self._revision = state.revision
            self._priorities = {
                pool: priorities
                for pool, priorities in state.pool_priorities().items()
                if len(priorities) >= MIN_RANKS
            }
        return self._priorities
