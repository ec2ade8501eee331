"""How many calls a second come in, over the last seconds."""

from __future__ import annotations

import math

MS_PER_S = 1000.0
FADING_MS = 2_000.0
"""A call counts a third after this: a burst of callers shows within the time that they
keep an answer to where to connect."""


class CallRate:
    """Count calls, the older ones less."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at_ms = 0.0

    def record(self, *, now_ms: float) -> None:
        """Note a call."""
        self._fade(now_ms)
        self._weight += 1.0

    def per_s(self, *, now_ms: float) -> float:
        """Return the calls a second."""
        self._fade(now_ms)
        return self._weight * MS_PER_S / FADING_MS

    def _fade(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._at_ms)
        self._weight *= math.exp(-elapsed_ms / FADING_MS)
        self._at_ms = now_ms
