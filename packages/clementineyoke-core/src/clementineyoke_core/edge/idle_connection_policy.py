"""Reuse of idle connections for calls that must not run twice."""

from __future__ import annotations

REUSE_PAUSE_MS = 30_000.0
"""How long idle connections are not reused after a loss. Runners go on dropping idle
connections for as long as the cause persists; a new connection costs a millisecond."""


class IdleConnectionPolicy:
    """Track the pools whose runners dropped an idle connection.

    A runner, or a device on the network path, may drop an idle connection silently; the
    next call on it is reset. An idempotent call is retried on another runner. A call
    that must not run twice is lost, because it may have run. After the first such loss
    calls of this kind, and no others, get new connections for a while.
    """

    def __init__(self) -> None:
        self._lost_ms: dict[str, float] = {}

    def record_loss(self, pool: str, *, now_ms: float) -> bool:
        """Record a call lost on an idle connection.

        Return whether idle connections could be reused until then.
        """
        was_allowed = self.may_reuse(pool, now_ms=now_ms)
        self._lost_ms[pool] = now_ms
        return was_allowed

    def may_reuse(self, pool: str, *, now_ms: float) -> bool:
        """Return whether idle connections to the pool's runners may carry any call."""
        lost_ms = self._lost_ms.get(pool)
        return lost_ms is None or now_ms - lost_ms >= REUSE_PAUSE_MS
