"""A bound on retries, so that failures cannot multiply the load."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries that each first attempt earns."""
MOST_SAVED = 20.0


class RetryBudget:
    """Let retries be a tenth of the requests, and a few more after a quiet time.

    When a zone dies every request fails at first. With three attempts each, the rest
    would get three times its load at the worst moment, seen as a second wave of
    failures.
    """

    def __init__(
        self, *, ratio: float = RETRY_SHARE, max_balance: float = MOST_SAVED
    ) -> None:
        self._share = ratio
        self._most_saved = max_balance
        self._saved = max_balance

    def deposit(self) -> None:
        """Note a request's first attempt."""
        self._saved = min(self._most_saved, self._saved + self._share)

    def try_spend(self) -> bool:
        """Take a retry from the budget; False when there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
