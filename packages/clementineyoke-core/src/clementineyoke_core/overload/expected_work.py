"""Time that a call takes at least, learned from answered calls."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable

WORK_WINDOW_MS = 30_000.0
WAIT_WINDOW_MS = 5_000.0
"""Waits for a slot change within seconds when a surge begins or ends."""
MIN_SAMPLES = 20
"""With fewer samples in the window nothing is assumed."""
MAX_SAMPLES = 40
"""Latest samples that are kept of a route; a higher number slows each decision."""
LOW_QUANTILE = 0.1
"""Nine of ten calls took longer. A call with less time than that fails almost surely; a
higher quantile would reject short calls of a route whose calls differ in length."""
MAX_KEYS = 512
"""Routes, or pools and priorities, that are remembered: 2.8 MB with all samples. The
one that was first seen longest ago is dropped for a new one."""


class TimeNeed(NamedTuple):
    """Time that a call needs at least until its answer is complete."""

    wait_ms: float
    """Wait for a slot; 0 if too few calls got one lately."""
    work_ms: float
    """Time from the slot to the complete answer."""
    work_age_ms: float
    """Age of the newest answer from which the work is known."""

    @property
    def total_ms(self) -> float:
        """Return the time from the call's arrival to its complete answer."""
        return self.wait_ms + self.work_ms


class RecentDurations:
    """Keep the latest durations by key, and compute a low quantile of each."""

    def __init__(self, *, window_ms: float) -> None:
        self._window_ms = window_ms
        self._samples: dict[Hashable, deque[tuple[float, float]]] = {}

    def record(self, key: Hashable, *, duration_ms: float, now_ms: float) -> None:
        """Record a duration."""
        samples = self._samples.get(key)
        if samples is None:
            if len(self._samples) >= MAX_KEYS:
                del self._samples[next(iter(self._samples))]
            samples = self._samples[key] = deque(maxlen=MAX_SAMPLES)
        samples.append((now_ms, duration_ms))

    def low_quantile_ms(self, key: Hashable, *, now_ms: float) -> float | None:
        """Return a low quantile of the recent durations, or None if there are few."""
        samples = self._samples.get(key, ())
        since_ms = now_ms - self._window_ms
        recent = sorted(duration for at_ms, duration in samples if at_ms >= since_ms)
        if len(recent) < MIN_SAMPLES:
            return None
        return recent[int(LOW_QUANTILE * len(recent))]

    def newest_age_ms(self, key: Hashable, *, now_ms: float) -> float:
        """Return the age of the newest duration, or 0 without any."""
        samples = self._samples.get(key)
        return now_ms - samples[-1][0] if samples else 0.0


class ExpectedWork:
    """Learn from calls that got a slot or an answer how much time a call needs."""

    def __init__(self) -> None:
        self._work = RecentDurations(window_ms=WORK_WINDOW_MS)
        self._waits = RecentDurations(window_ms=WAIT_WINDOW_MS)

    def record_slot(
        self, pool: str, priority: int, *, wait_ms: float, now_ms: float
    ) -> None:
        """Record how long a call waited for its slot."""
        self._waits.record((pool, priority), duration_ms=wait_ms, now_ms=now_ms)

    def record_answer(self, route: str, *, work_ms: float, now_ms: float) -> None:
        """Record the time from a call's slot to its complete answer."""
        self._work.record(route, duration_ms=work_ms, now_ms=now_ms)

    def time_need(
        self, route: str, pool: str, priority: int, *, now_ms: float
    ) -> TimeNeed | None:
        """Return the time that a call needs at least, or None if it is not known."""
        work_ms = self._work.low_quantile_ms(route, now_ms=now_ms)
        if work_ms is None:
            return None
        wait_ms = self._waits.low_quantile_ms((pool, priority), now_ms=now_ms)
        work_age_ms = self._work.newest_age_ms(route, now_ms=now_ms)
        return TimeNeed(wait_ms or 0.0, work_ms, work_age_ms)
