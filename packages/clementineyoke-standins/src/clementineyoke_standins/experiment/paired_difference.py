"""Mean difference of paired runs with a bootstrap confidence interval."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

RESAMPLES = 10_000
LOW_PERCENT, HIGH_PERCENT = 2.5, 97.5
SEED = 1
"""Fixed, so that the same pairs always give the same interval."""


class PairedDifference(NamedTuple):
    """Mean difference of the second arm to the first, with its 95% interval."""

    first: float
    second: float
    difference: float
    low: float
    high: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes zero."""
        return self.low > 0.0 or self.high < 0.0

    def __str__(self) -> str:
        """Return difference and interval, as printed in tables."""
        mark = "" if self.is_clear else " unclear"
        interval = f"[{self.low:+.4f}, {self.high:+.4f}]"
        return f"{self.difference:+.4f} {interval} of {self.pairs} pairs{mark}"


def compare(first: Sequence[float], second: Sequence[float]) -> PairedDifference:
    """Return the mean paired difference with its 95% bootstrap interval."""
    differences = np.asarray(second) - np.asarray(first)
    resamples = np.random.default_rng(SEED).choice(
        differences, size=(RESAMPLES, len(differences))
    )
    low, high = np.percentile(resamples.mean(axis=1), [LOW_PERCENT, HIGH_PERCENT])
    return PairedDifference(
        first=float(np.mean(first)),
        second=float(np.mean(second)),
        difference=float(differences.mean()),
        low=float(low),
        high=float(high),
        pairs=len(differences),
    )
