"""Mean of observations whose weights decay with their age."""

from __future__ import annotations

import math


class DecayingMean:
    """Mean that forgets observations with a time constant.

    A prior of weight ``prior_weight`` at the value 1 keeps a few observations from
    deciding the mean.
    """

    def __init__(self, *, time_constant_ms: float, prior_weight: float = 0.0) -> None:
        self._time_constant_ms = time_constant_ms
        self._prior_weight = prior_weight
        self._sum = 0.0
        self._weight = 0.0
        self._updated_ms = -math.inf

    def add(self, value: float, *, now_ms: float) -> None:
        """Add an observation."""
        decay = self._decay(now_ms)
        self._sum = self._sum * decay + value
        self._weight = self._weight * decay + 1.0
        self._updated_ms = max(now_ms, self._updated_ms)

    def mean(self) -> float:
        """Return the mean, or 1 without observations and prior."""
        weight = self._weight + self._prior_weight
        return (self._sum + self._prior_weight) / weight if weight else 1.0

    def weight(self, *, now_ms: float) -> float:
        """Return the decayed number of observations."""
        return self._weight * self._decay(now_ms)

    def _decay(self, now_ms: float) -> float:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        return math.exp(-elapsed_ms / self._time_constant_ms)
