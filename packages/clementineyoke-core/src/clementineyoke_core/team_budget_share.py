"""A node's share of one team's request budget, handed out by the budget's home."""

from __future__ import annotations

SHARE_LEASE_MS = 4_000
ASK_AHEAD_MS = 250


class TeamBudgetShare:
    """Spend tokens granted by the home and say how many to ask for next.

    A share lapses after four seconds: a node that no longer sees the team would keep
    tokens that other nodes need, seen as refusals below the team's limit.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._lapses_ms = 0.0
        self._spent_since_ask = 0
        self._asked_ms = 0.0

    def try_spend(self, *, now_ms: float) -> bool:
        """Spend a token of the share, if one is left."""
        self._spent_since_ask += 1
        if now_ms >= self._lapses_ms:
            self._tokens = 0.0
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def tokens_to_request(self, *, now_ms: float) -> int:
        """Return how many tokens cover the next moments at the rate seen lately."""
        elapsed_ms = max(1.0, now_ms - self._asked_ms)
        self._asked_ms = now_ms
        expected = self._spent_since_ask * ASK_AHEAD_MS / max(elapsed_ms, ASK_AHEAD_MS)
        self._spent_since_ask = 0
        return max(1, round(expected))

    def add_tokens(self, tokens: float, *, now_ms: float) -> None:
        """Add a share that the home granted."""
        if now_ms >= self._lapses_ms:
            self._tokens = 0.0
        self._tokens += tokens
        self._lapses_ms = now_ms + SHARE_LEASE_MS
