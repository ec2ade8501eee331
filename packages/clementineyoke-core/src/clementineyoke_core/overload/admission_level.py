"""Level below which a node rejects calls of less urgent ranks before any search."""

from __future__ import annotations

START_PRESSURE = 0.95
"""Pressure from which calls are rejected. Homes keep less urgent ranks below 0.95 of
the slots, so a higher pressure means queued calls or a surplus of urgent ones."""
FULL_PRESSURE = 2.0
"""Pressure of the highest level. With 1.55, queued calls of the last rank alone raised
the level so far that most calls of the rank above it were rejected too; with 2.5, more
calls waited in queues until they were late."""
RELIEF_START = 0.85
RELIEF_END = 0.6
"""Pressures between which a level loses its effect, whatever its value. The level falls
slowly, and without the relief, runners with free slots idle for seconds after an
overload."""
RISE_MS = 1_000.0
"""Time in which the level rises over its full range."""
FALL_MS = 8_000.0
"""Time in which the level falls over its full range. The fleet's mean lags by one to
two seconds; a faster fall would reach the bottom before the mean shows its effect."""
MIN_ADMITTED_SHARE = 0.3
"""Share that is admitted of any rank. A kind starves by the operators' limit if it gets
less than a quarter of the share that all calls get."""


class AdmissionLevel:
    """A real number from 0 (all calls are admitted) to the number of ranks less one.

    The integer part counts the least urgent ranks that are rejected down to the minimum
    share; the fraction is the rejected share of the next rank. It follows the pressure
    with a limited speed. While the pool has free slots, only a part of the level is in
    force, or none.
    """

    def __init__(self, *, ranks: int) -> None:
        self._ranks = ranks
        self._level = 0.0
        self._relief = 1.0
        self._updated_ms: float | None = None

    @property
    def value(self) -> float:
        """Return the level."""
        return self._level

    @property
    def in_force(self) -> float:
        """Return the part of the level that takes effect."""
        return self._level * (1.0 - self._relief)

    @property
    def max_value(self) -> int:
        """Return the highest level."""
        return max(0, self._ranks - 1)

    def set_ranks(self, ranks: int) -> None:
        """Change the number of ranks, which limits the level."""
        self._ranks = ranks
        self._level = min(self._level, self.max_value)

    def update(self, pressure: float, *, now_ms: float) -> None:
        """Move the level toward the one that a pressure calls for."""
        elapsed_ms = 0.0
        if self._updated_ms is not None:
            elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        self._relief = 1.0 - ramp(pressure, RELIEF_END, RELIEF_START)
        target = self.max_value * ramp(pressure, START_PRESSURE, FULL_PRESSURE)
        rise = self.max_value * elapsed_ms / RISE_MS
        fall = self.max_value * elapsed_ms / FALL_MS
        self._level = max(self._level - fall, min(self._level + rise, target))

    def admitted_share(self, rank: int) -> float:
        """Return the share of a rank's calls that is admitted.

        A newer desired state may give more ranks before ``set_ranks`` is called; such
        ranks are treated like the last one known.
        """
        less_urgent = max(0, self.max_value - rank)
        rejected = max(0.0, min(1.0, self.in_force - less_urgent))
        return max(MIN_ADMITTED_SHARE, 1.0 - rejected)

    def admits(self, rank: int, *, draw: float) -> bool:
        """Return whether a call is admitted; ``draw`` is uniform from 0 to 1.

        A draw that admits a rank admits every more urgent one.
        """
        return rank == 0 or draw < self.admitted_share(rank)


def ramp(value: float, start: float, end: float) -> float:
    """Return 0 up to ``start``, 1 from ``end``, and a linear transition between."""
    return max(0.0, min(1.0, (value - start) / (end - start)))
