"""Ranks of the priority classes of each pool, as calls use them."""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.desired_state import DesiredState, PriorityClass

MIN_RANKS = 2
"""A pool with a single priority class has nothing to choose between."""
MIN_CALL_SHARE = 0.1
"""Share of a pool's calls from which a priority has a rank. Calls of a class without
one have the rank of the next less urgent class.

Routes that serve only checks have priorities too: with a rank for those, nearly all
calls of a pool were rejected in favor of 7 in 100 checks.
"""
USE_DECAY_MS = 30_000.0
"""Time constant of the counts of calls. A surge of one kind of call, of seconds, does
not take the rank from the others."""
MIN_CALLS = 20.0
"""Recent calls from which the ranks follow the calls."""
COUNT_INTERVAL_MS = 250.0
"""Time after which the ranks follow the counts again."""


class PriorityRanks:
    """Map priorities to ranks; rank 0 is the most urgent one of a pool.

    Only pools of engines have ranks. The calls of a plain service take milliseconds and
    its pool has few slots, so that a clump of calls fills it for less time than the
    gossip needs to tell, and calls were rejected for clumps that had passed.

    The priority of a call is the place of its class among those of the desired state.
    It has a rank if enough of the recent calls, at this node or to the runners homed on
    it, use it. A node that has seen few calls goes by the desired state alone, one with
    a stale state by the classes that it knows.
    """

    def __init__(self, *, read_state: Callable[[], DesiredState | None]) -> None:
        """Create the ranks; ``read_state`` returns the desired state in force."""
        self._read_state = read_state
        self._revision = -1
        self._classes: dict[str, tuple[PriorityClass, ...]] = {}
        self._configured: dict[str, tuple[int, ...]] = {}
        self._counts: dict[str, dict[int, float]] = {}
        self._used: dict[str, tuple[int, ...]] = {}
        self._counted_ms = 0.0

    def pools(self) -> set[str]:
        """Return the pools of engines with at least two priority classes."""
        self._read()
        return set(self._configured)

    def count(self, pool: str) -> int:
        """Return the number of ranks; 0 for a pool that has fewer than two."""
        self._read()
        return len(self._used.get(pool, ()))

    def rank(self, pool: str, priority: int) -> int:
        """Return the rank of a priority; 0 for a pool without ranks.

        A priority without a rank takes that of the next less urgent one, or the last.
        """
        self._read()
        priorities = self._used.get(pool)
        if priorities is None:
            return 0
        return min(bisect_left(priorities, priority), len(priorities) - 1)

    def record_call(self, pool: str, priority: int, *, now_ms: float) -> None:
        """Count a call, or a request for a slot, of a priority."""
        self._read()
        if pool not in self._configured:
            return
        counts = self._counts.setdefault(pool, {})
        counts[priority] = counts.get(priority, 0.0) + 1.0
        if now_ms - self._counted_ms >= COUNT_INTERVAL_MS:
            self._follow_counts(now_ms)

    def _read(self) -> None:
        state = self._read_state()
        if state is None or state.revision == self._revision:
            return
        self._revision = state.revision
        engine_pools = {limits.pool for limits in state.pools if limits.memory_tokens}
        classes = {
            pool: found
            for pool, found in state.priority_classes().items()
            if pool in engine_pools and len(found) >= MIN_RANKS
        }
        for pool in list(self._counts):
            if classes.get(pool) != self._classes.get(pool):
                # The same number stands for another class now.
                del self._counts[pool]
        self._classes = classes
        self._configured = {
            pool: tuple(range(len(found))) for pool, found in classes.items()
        }
        self._rank_used()

    def _follow_counts(self, now_ms: float) -> None:
        factor = math.exp((self._counted_ms - now_ms) / USE_DECAY_MS)
        self._counted_ms = now_ms
        for counts in self._counts.values():
            for priority in counts:
                counts[priority] *= factor
        self._rank_used()

    def _rank_used(self) -> None:
        self._used = {}
        for pool, priorities in self._configured.items():
            used = self._select_used(priorities, self._counts.get(pool, {}))
            if len(used) >= MIN_RANKS:
                self._used[pool] = used

    @staticmethod
    def _select_used(
        priorities: tuple[int, ...], counts: dict[int, float]
    ) -> tuple[int, ...]:
        total = sum(counts.values())
        if total < MIN_CALLS:
            return priorities
        min_calls = MIN_CALL_SHARE * total
        return tuple(p for p in priorities if counts.get(p, 0.0) >= min_calls)
