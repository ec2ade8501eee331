"""Request budget of a team, at its home node."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.token_bucket import TokenBucket

PREFETCH_SHARE = 0.1
"""Share of the tokens above half the burst that is granted beyond the first token,
unless more were requested."""
MAX_PREFETCH_TOKENS = 20.0


class BudgetGrant(NamedTuple):
    """Tokens for a requesting node; without any, the time until the next one."""

    tokens: float
    wait_ms: float


class TeamBudget:
    """Grant tokens, more than requested while the team is far below its limit.

    One message per request costs 180 bytes, which can be 19% of all control traffic.
    While the bucket is over half full, the team is far from its limit, and tokens
    granted in advance do not make the limit less accurate.
    """

    def __init__(self, *, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._burst = burst
        self._bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, now_ms=now_ms)

    def configure(self, *, rate_per_s: float, burst: float) -> None:
        """Set new limits."""
        self._burst = burst
        self._bucket.configure(rate_per_s=rate_per_s, burst=burst)

    def grant(self, wanted: int, *, now_ms: float) -> BudgetGrant:
        """Grant at least one token, or none with the time until the next one."""
        if not self._bucket.take_one(now_ms=now_ms):
            return BudgetGrant(0.0, self._bucket.wait_ms())
        spare = self._bucket.level(now_ms=now_ms) - self._burst / 2
        extra = min(MAX_PREFETCH_TOKENS, max(0.0, spare * PREFETCH_SHARE))
        additional = self._bucket.take_up_to(max(wanted - 1.0, extra), now_ms=now_ms)
        return BudgetGrant(1.0 + additional, 0.0)
