"""When a node learnt that lifetimes of runners had ended."""

from __future__ import annotations

from collections import deque

KEPT_MS = 60_000.0
MAX_ENDS = 16
"""Ends that are remembered for a runner."""


class LifetimeEnds:
    """Remember evidence that runners have ended, by the times at which it came.

    Unlike a doubt, it says nothing of the lifetime that follows. A connection to a
    runner that is open after it leads to a lifetime that has not ended.
    """

    def __init__(self) -> None:
        self._learnt_ms: dict[str, deque[float]] = {}

    def record(self, runner_id: str, *, now_ms: float) -> None:
        """Record evidence that a lifetime of a runner has ended."""
        for known_id, times_ms in list(self._learnt_ms.items()):
            if now_ms - times_ms[-1] > KEPT_MS:
                del self._learnt_ms[known_id]
        times_ms = self._learnt_ms.setdefault(runner_id, deque(maxlen=MAX_ENDS))
        times_ms.append(now_ms)

    def was_learnt(self, runner_id: str, *, since_ms: float, until_ms: float) -> bool:
        """Return whether evidence of a runner's end came within a time."""
        times_ms = self._learnt_ms.get(runner_id, ())
        return any(since_ms <= time_ms <= until_ms for time_ms in times_ms)
