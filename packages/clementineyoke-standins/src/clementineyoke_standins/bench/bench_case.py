"""One benchmark result, as written to ``build/bench.json``."""

from __future__ import annotations

from typing import NamedTuple


class BenchCase(NamedTuple):
    """A measured value with its baseline and its committed bound."""

    name: str
    metric: str
    value: float
    baseline: float | None
    bound: float | None
    higher_is_better: bool
    seed: int
    scale: str

    @property
    def is_within_bound(self) -> bool:
        """Whether the value is at least as good as its bound, or has no bound."""
        if self.bound is None:
            return True
        if self.higher_is_better:
            return self.value >= self.bound
        return self.value <= self.bound
