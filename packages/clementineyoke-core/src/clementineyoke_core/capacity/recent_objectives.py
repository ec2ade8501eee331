"""Smallest latency objective of the calls of each priority that were granted lately."""

from __future__ import annotations

from typing import NamedTuple

OBJECTIVE_TTL_MS = 10_000.0
"""How long the objective of a call protects later calls like it."""


class _Objective(NamedTuple):
    objective_ms: int
    seen_ms: float


class RecentObjectives:
    """Remember one objective per pool and priority; there are ten priorities."""

    def __init__(self) -> None:
        self._objectives: dict[str, dict[int, _Objective]] = {}

    def record(
        self, pool: str, *, priority: int, objective_ms: int, now_ms: float
    ) -> None:
        """Record the objective of a call."""
        by_priority = self._objectives.setdefault(pool, {})
        old = by_priority.get(priority)
        is_smallest = old is None or objective_ms <= old.objective_ms
        if is_smallest or self._is_expired(old, now_ms):
            by_priority[priority] = _Objective(objective_ms, now_ms)

    def smallest_ms(
        self, pool: str, *, priority: int, objective_ms: int, now_ms: float
    ) -> int:
        """Return the smallest objective of a call and of more urgent ones, in ms."""
        by_priority = self._objectives.get(pool, {})
        more_urgent_ms = [
            seen.objective_ms
            for other, seen in by_priority.items()
            if other < priority and not self._is_expired(seen, now_ms)
        ]
        return min([objective_ms, *more_urgent_ms])

    def retain(self, pools: set[str]) -> None:
        """Forget the pools that no longer exist."""
        for pool in self._objectives.keys() - pools:
            del self._objectives[pool]

    @staticmethod
    def _is_expired(objective: _Objective | None, now_ms: float) -> bool:
        return objective is None or now_ms - objective.seen_ms > OBJECTIVE_TTL_MS
