"""Tells whether a node that is about to end has the time that a call takes."""

from __future__ import annotations

import math
from typing import NamedTuple

WINDOW_MS = 300_000.0
"""Answers count for one to two windows."""
MIN_ANSWERS = 3
"""Answers of a route below which the time of its calls is unknown."""
MAX_ROUTES = 4_096
"""Routes whose answers are remembered; a full table is cleared."""
MARGIN_FACTOR = 1.25
"""The nodes that stay, and their runners, become slower as others leave."""


class Shortage(NamedTuple):
    """Why a call would not be answered before the node ends."""

    needed_ms: float
    left_ms: float
    is_known: bool
    """Whether ``needed_ms`` follows from answers; otherwise it is the upper bound."""

    def __str__(self) -> str:
        """Return the reason in words, with the values that decided."""
        source = "by earlier answers" if self.is_known else "at most"
        return (
            f"this node ends in {self.left_ms:.0f} ms, and the call takes "
            f"{self.needed_ms:.0f} ms {source}"
        )


class LeaveTime:
    """Compare the time that calls of a route take with that left until the node ends.

    The longest recent answer counts, as a call that is refused before it is sent loses
    nothing, and one that is cut is lost. Calls under way count with their age: work may
    have become longer than all known answers. Without enough answers a call is assumed
    to use all of its time.
    """

    def __init__(self) -> None:
        self._end_ms = math.inf
        self._routes: dict[str, _RouteTimes] = {}

    def begin_leaving(self, *, end_ms: float) -> None:
        """Record the monotonic time at which the node cuts what is unanswered."""
        self._end_ms = end_ms

    def begin_call(self, route: str, *, now_ms: float) -> CallTime:
        """Record that a call is taken; its time is to be ended."""
        times = self._routes.get(route)
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            times = self._routes[route] = _RouteTimes(now_ms=now_ms)
        return CallTime(times, started_ms=now_ms)

    def shortage(
        self, route: str, *, deadline_ms: float, now_ms: float
    ) -> Shortage | None:
        """Return why a call cannot be expected to end in time, or None if it can."""
        left_ms = self._end_ms - now_ms
        budget_ms = deadline_ms - now_ms
        if budget_ms <= left_ms:
            return None
        times = self._routes.get(route)
        usual_ms = None if times is None else times.longest_ms(now_ms=now_ms)
        if usual_ms is None:
            return Shortage(budget_ms, left_ms, is_known=False)
        needed_ms = min(budget_ms, MARGIN_FACTOR * usual_ms)
        if needed_ms <= left_ms:
            return None
        return Shortage(needed_ms, left_ms, is_known=True)


class CallTime:
    """Time of one call, from when it was taken."""

    def __init__(self, times: _RouteTimes, *, started_ms: float) -> None:
        self._times = times
        self.started_ms = started_ms
        times.under_way[self] = None

    def end(self, *, is_answered: bool, now_ms: float) -> None:
        """Record the end of the call; only a whole answer tells how long calls take."""
        del self._times.under_way[self]
        if is_answered:
            self._times.record(now_ms - self.started_ms, now_ms=now_ms)


class _Window(NamedTuple):
    answers: int = 0
    longest_ms: float = 0.0


class _RouteTimes:
    """Answers of one route in the present and the last window, and calls under way."""

    def __init__(self, *, now_ms: float) -> None:
        self._began_ms = now_ms
        self._current = self._last = _Window()
        self.under_way: dict[CallTime, None] = {}
        """In the order in which they were taken."""

    def record(self, took_ms: float, *, now_ms: float) -> None:
        self._advance(now_ms)
        answers, longest_ms = self._current
        self._current = _Window(answers + 1, max(longest_ms, took_ms))

    def longest_ms(self, *, now_ms: float) -> float | None:
        self._advance(now_ms)
        if self._current.answers + self._last.answers < MIN_ANSWERS:
            return None
        oldest = next(iter(self.under_way), None)
        age_ms = 0.0 if oldest is None else now_ms - oldest.started_ms
        return max(self._current.longest_ms, self._last.longest_ms, age_ms)

    def _advance(self, now_ms: float) -> None:
        windows = int((now_ms - self._began_ms) / WINDOW_MS)
        if windows:
            self._last = self._current if windows == 1 else _Window()
            self._current = _Window()
            self._began_ms += windows * WINDOW_MS
