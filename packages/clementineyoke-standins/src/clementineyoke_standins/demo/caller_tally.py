"""Results collected by the demo's callers."""

from __future__ import annotations

from collections import Counter


class CallerTally:
    """Counters of outcomes, faulty responses and latencies."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.mixed_up_responses = 0
        self.cut_streams_by_node: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        self.not_run_marks: set[str] = set()
        """Marks of score posts whose last reported outcome was ``not_run``."""
        self.stored_responses = 0
        self.repeated_posts = 0

    def percentile_s(self, share: float) -> float:
        """Return a percentile (as a share) of the time to the complete response."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
