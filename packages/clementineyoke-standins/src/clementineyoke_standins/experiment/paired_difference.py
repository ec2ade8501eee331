"""The mean difference of paired plays, with the interval that the pairs allow."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

RESAMPLES = 10_000
LOW_PERCENT, HIGH_PERCENT = 2.5, 97.5
SEED = 1
"""The same pairs always give the same interval."""


class PairedDifference(NamedTuple):
    """How much more the second arm has than the first, in the mean of the pairs."""

    first: float
    second: float
    difference: float
    low: float
    high: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether the interval leaves no doubt about the sign."""
        return self.low > 0.0 or self.high < 0.0

    def __str__(self) -> str:
        """Return difference and interval, as a table shows them."""
        mark = "" if self.is_clear else " unclear"
        interval = f"[{self.low:+.4f}, {self.high:+.4f}]"
        return f"{self.difference:+.4f} {interval} of {self.pairs} pairs{mark}"


def compare(first: Sequence[float], second: Sequence[float]) -> PairedDifference:
    """Return the paired difference with its 95% bootstrap interval."""
    differences = np.asarray(second) - np.asarray(first)
    drawn = np.random.default_rng(SEED).choice(
        differences, size=(RESAMPLES, len(differences))
    )
    low, high = np.percentile(drawn.mean(axis=1), [LOW_PERCENT, HIGH_PERCENT])
    return PairedDifference(
        first=float(np.mean(first)),
        second=float(np.mean(second)),
        difference=float(differences.mean()),
        low=float(low),
        high=float(high),
        pairs=len(differences),
    )
