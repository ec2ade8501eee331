"""Whether connections that rested may carry calls that must not run twice."""

from __future__ import annotations

WARY_MS = 30_000.0
"""How long a loss is remembered. Runners that forget resting connections do so for as
long as what makes them do it lasts; a new connection costs a millisecond."""


class IdleConnectionPolicy:
    """Remember pools whose runners dropped a connection that rested.

    A runner, or something on the way to it, may forget a resting connection without a
    word; the next call on it is reset. An idempotent call goes on elsewhere. One that
    must not run twice is lost: nothing says that it did not run. After a first such
    loss these calls get connections of their own for a while, and only these.
    """

    def __init__(self) -> None:
        self._lost_ms: dict[str, float] = {}

    def record_loss(self, pool: str, *, now_ms: float) -> bool:
        """Note a call lost on a rested connection; return whether it is news."""
        is_news = self.may_reuse(pool, now_ms=now_ms)
        self._lost_ms[pool] = now_ms
        return is_news

    def may_reuse(self, pool: str, *, now_ms: float) -> bool:
        """Whether a resting connection to the pool's runners may carry any call."""
        lost_ms = self._lost_ms.get(pool)
        return lost_ms is None or now_ms - lost_ms >= WARY_MS
