"""One figure of the bench, as ``build/bench.json`` holds it."""

from __future__ import annotations

from typing import NamedTuple


class BenchCase(NamedTuple):
    """A measured value beside its baseline and its committed bound."""

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
        """Whether the value is no worse than its bound."""
        if self.bound is None:
            return True
        if self.higher_is_better:
            return self.value >= self.bound
        return self.value <= self.bound
