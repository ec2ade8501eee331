"""Compares the time of each answer with the mean of its route's answers."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.capacity.decaying_mean import DecayingMean

TIME_CONSTANT_MS = 120_000.0
"""Long enough for a route with a call in ten seconds at this node. A pool that slows
down as a whole is not misjudged by it, since homes compare runners with the pool."""
MIN_ANSWERS = 10.0
"""Answers of a route, decayed by their age, below which its mean says nothing."""
MAX_KINDS = 1_024
"""Kinds of answers that are remembered; a full table is cleared."""
MIN_PERCENT = 25
MAX_PERCENT = 400
"""Limits of one comparison, so that a single answer does not decide a mean."""


class AnswerKind(NamedTuple):
    """Answers whose times are comparable."""

    pool: str
    route: str
    is_stream: bool
    """Whether the time is the time per event of a stream."""


class ResponseTimes:
    """Mean time of the answers that one node received, by kind of answer.

    A node calls all runners of a pool, but a home knows the times of its own runners
    only. The comparison is therefore made where the answer arrives, and the home gets
    its result.
    """

    def __init__(self) -> None:
        self._means: dict[AnswerKind, DecayingMean] = {}

    def compare(self, kind: AnswerKind, *, time_ms: float, now_ms: float) -> int:
        """Record an answer and return its time in percent of the mean before it.

        Return 0 if too few answers of the kind are known.
        """
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= MAX_KINDS:
                self._means.clear()
            mean = DecayingMean(time_constant_ms=TIME_CONSTANT_MS)
            self._means[kind] = mean
        percent = 0
        if mean.weight(now_ms=now_ms) >= MIN_ANSWERS and mean.mean() > 0.0:
            ratio = round(100.0 * time_ms / mean.mean())
            percent = max(MIN_PERCENT, min(MAX_PERCENT, ratio))
            # An outlier counts up to the same limit in the mean.
            time_ms = min(time_ms, mean.mean() * MAX_PERCENT / 100.0)
        mean.add(time_ms, now_ms=now_ms)
        return percent
