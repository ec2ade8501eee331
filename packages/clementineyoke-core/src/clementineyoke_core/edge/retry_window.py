"""One node's share of the fleet's retry budget."""

from __future__ import annotations

from collections import deque

SAFETY_FACTOR = 0.7
"""Share of the budget that is used. The nodes' views of the fleet's size differ for
seconds, and a restarted node does not know its earlier retries."""


class RetryWindow:
    """Limit the retries of each pool over a sliding window.

    When many runners fail at once, every call asks for a retry. Without a limit the
    remaining runners would get twice their load at the worst moment. The operator's
    budget is for all nodes together; each node uses the ratio for its own calls and an
    equal share of the fixed allowance.
    """

    def __init__(self, *, ratio: float, allowance: float, window_ms: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._calls: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_call(self, pool: str, *, now_ms: float) -> None:
        """Record a caller's call for a pool."""
        calls = self._calls.setdefault(pool, deque())
        calls.append(now_ms)
        self._drop_expired(calls, now_ms)

    def try_spend(self, pool: str, *, node_count: int, now_ms: float) -> bool:
        """Spend one retry of a pool; return False if none is left."""
        if not self.has_budget(pool, node_count=node_count, now_ms=now_ms):
            return False
        self._retries[pool].append(now_ms)
        return True

    def refund(self, pool: str) -> None:
        """Give back the latest retry of a pool, which reached no runner."""
        if self._retries.get(pool):
            self._retries[pool].pop()

    def has_budget(self, pool: str, *, node_count: int, now_ms: float) -> bool:
        """Return whether a pool has a retry left."""
        calls = self._calls.setdefault(pool, deque())
        retries = self._retries.setdefault(pool, deque())
        self._drop_expired(calls, now_ms)
        self._drop_expired(retries, now_ms)
        allowance = self._allowance / max(1, node_count)
        max_retries = SAFETY_FACTOR * (self._ratio * len(calls) + allowance)
        return len(retries) + 1 <= max_retries

    def _drop_expired(self, times_ms: deque[float], now_ms: float) -> None:
        while times_ms and times_ms[0] <= now_ms - self._window_ms:
            times_ms.popleft()
