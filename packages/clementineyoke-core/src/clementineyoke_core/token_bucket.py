"""A token bucket on a clock that is passed in."""

from __future__ import annotations

MS_PER_S = 1000.0


class TokenBucket:
    """Hold at most ``burst`` tokens, refilled at ``rate_per_s``."""

    def __init__(self, *, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_ms = now_ms

    def configure(self, *, rate_per_s: float, burst: float) -> None:
        """Take new limits; tokens already held never exceed the new burst."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take_up_to(self, wanted: float, *, now_ms: float) -> float:
        """Take what is there, at most what is wanted, and return it."""
        self._refill(now_ms)
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def take_one(self, *, now_ms: float) -> bool:
        """Take a whole token, or nothing."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def level(self, *, now_ms: float) -> float:
        """Return how many tokens are there."""
        self._refill(now_ms)
        return self._tokens

    def wait_ms(self) -> float:
        """Return how long until a whole token will be there."""
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / max(self._rate_per_s, 0.001) * MS_PER_S

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._filled_ms) / MS_PER_S
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        self._filled_ms = max(self._filled_ms, now_ms)
