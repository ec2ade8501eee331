"""Rate of incoming calls, as a decaying average over the last seconds."""

from __future__ import annotations

import math

MS_PER_S = 1000.0
DECAY_MS = 2_000.0
"""Time constant of the average: after it a call's weight has decayed to about a third.
A burst must show within the time for which callers cache the list of entry nodes."""


class CallRate:
    """Estimate the rate of calls with exponentially decaying weights."""

    def __init__(self, *, decay_ms: float = DECAY_MS) -> None:
        """Create a rate; ``decay_ms`` is the time constant of the average."""
        self._decay_ms = decay_ms
        self._weight = 0.0
        self._updated_ms = 0.0

    def record(self, *, now_ms: float) -> None:
        """Record one call."""
        self._decay(now_ms)
        self._weight += 1.0

    def per_s(self, *, now_ms: float) -> float:
        """Return the rate in calls per second."""
        self._decay(now_ms)
        return self._weight * MS_PER_S / self._decay_ms

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._weight *= math.exp(-elapsed_ms / self._decay_ms)
        self._updated_ms = now_ms
