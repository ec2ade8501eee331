"""A node's share of a team's request budget, granted by the budget's home node."""

from __future__ import annotations

SHARE_LEASE_MS = 4_000
PREFETCH_MS = 250
"""How long the requested tokens last at the current rate."""


class TeamBudgetShare:
    """Spend tokens granted by the home and compute how many to request next.

    A share expires after four seconds. Otherwise a node that gets no more requests of
    the team would keep tokens that other nodes need, and these would refuse requests
    below the team's limit.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._expires_at_ms = 0.0
        self._spent_since_request = 0
        self._requested_at_ms = 0.0

    def try_spend(self, *, now_ms: float) -> bool:
        """Spend a token; return False if none is left."""
        self._spent_since_request += 1
        if now_ms >= self._expires_at_ms:
            self._tokens = 0.0
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def tokens_to_request(self, *, now_ms: float) -> int:
        """Return how many tokens to request, by the rate since the last request."""
        elapsed_ms = max(1.0, now_ms - self._requested_at_ms)
        self._requested_at_ms = now_ms
        expected = (
            self._spent_since_request * PREFETCH_MS / max(elapsed_ms, PREFETCH_MS)
        )
        self._spent_since_request = 0
        return max(1, round(expected))

    def add_tokens(self, tokens: float, *, now_ms: float) -> None:
        """Add tokens granted by the home."""
        if now_ms >= self._expires_at_ms:
            self._tokens = 0.0
        self._tokens += tokens
        self._expires_at_ms = now_ms + SHARE_LEASE_MS
