"""Limit on retries, so that failures do not multiply the load."""

from __future__ import annotations

RETRY_RATIO = 0.1
"""Retries allowed per request."""
MAX_BALANCE = 20.0
"""Retries that can be saved up."""


class RetryBudget:
    """Allow retries for a tenth of the requests, plus some saved while few were needed.

    When a zone fails, every request fails at first. With three attempts per request,
    the remaining runners would get three times their load at the worst moment, which
    causes a second wave of failures.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, max_balance: float = MAX_BALANCE
    ) -> None:
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    def deposit(self) -> None:
        """Credit the budget for a request's first attempt."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Take a retry from the budget; return False if there is none left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
