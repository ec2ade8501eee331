"""One node's share of the fleet's budget for second tries."""

from __future__ import annotations

from collections import deque

SAFETY = 0.7
"""Share of the budget that is spent: nodes' views of how many share it differ for
seconds, and a restarted node has forgotten what it spent."""


class RetryWindow:
    """Bound one pool's second tries over a sliding window.

    When many runners fail at once every call wants a second try. Without a bound the
    rest would get twice their load at the worst moment. The operator's budget is over
    all nodes; each takes its own calls' part of the ratio and an even part of the
    fixed allowance.
    """

    def __init__(self, *, ratio: float, allowance: float, window_ms: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._calls: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_call(self, pool: str, *, now_ms: float) -> None:
        """Note a caller's call for a pool."""
        calls = self._calls.setdefault(pool, deque())
        calls.append(now_ms)
        self._drop_old(calls, now_ms)

    def try_spend(self, pool: str, *, node_count: int, now_ms: float) -> bool:
        """Take one second try for a pool, or return False when none is left."""
        if not self.has_budget(pool, node_count=node_count, now_ms=now_ms):
            return False
        self._retries[pool].append(now_ms)
        return True

    def has_budget(self, pool: str, *, node_count: int, now_ms: float) -> bool:
        """Whether a second try is left for a pool."""
        calls = self._calls.setdefault(pool, deque())
        retries = self._retries.setdefault(pool, deque())
        self._drop_old(calls, now_ms)
        self._drop_old(retries, now_ms)
        allowance = self._allowance / max(1, node_count)
        most = SAFETY * (self._ratio * len(calls) + allowance)
        return len(retries) + 1 <= most

    def _drop_old(self, times_ms: deque[float], now_ms: float) -> None:
        while times_ms and times_ms[0] <= now_ms - self._window_ms:
            times_ms.popleft()
