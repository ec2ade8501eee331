"""What the demo's callers saw."""

from __future__ import annotations

from collections import Counter


class CallerTally:
    """Count outcomes; a promise is a line of the final table."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.crossed = 0
        self.cut_by_node: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        self.not_run_marks: set[str] = set()
        """Score posts whose last word was ``not_run``."""
        self.repeated_answers = 0
        self.repeats_elsewhere = 0

    def percentile_s(self, share: float) -> float:
        """Return a percentile of the time to the whole answer."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
