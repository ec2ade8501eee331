"""Token bucket; the caller passes in the time."""

from __future__ import annotations

MS_PER_S = 1000.0


class TokenBucket:
    """Hold at most ``burst`` tokens, refilled at ``rate_per_s``."""

    def __init__(self, *, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_ms = now_ms

    def configure(self, *, rate_per_s: float, burst: float) -> None:
        """Set new limits; tokens above the new burst are dropped."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take_up_to(self, wanted: float, *, now_ms: float) -> float:
        """Take up to ``wanted`` tokens and return how many were taken."""
        self._refill(now_ms)
        taken = min(wanted, self._tokens)
        self._tokens -= taken
        return taken

    def take_one(self, *, now_ms: float) -> bool:
        """Take one token; return False if there is less than one."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def level(self, *, now_ms: float) -> float:
        """Return the number of tokens in the bucket."""
        self._refill(now_ms)
        return self._tokens

    def wait_ms(self) -> float:
        """Return the time until there is a whole token."""
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / max(self._rate_per_s, 0.001) * MS_PER_S

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._refilled_at_ms) / MS_PER_S
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        self._refilled_at_ms = max(self._refilled_at_ms, now_ms)
