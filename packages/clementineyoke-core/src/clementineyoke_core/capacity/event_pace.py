"""Time per event of one stream from one runner."""

from __future__ import annotations

MAX_BLOCKED_SHARE = 0.1
"""Share of the time spent on writing to the caller above which a stream is not
measured: a caller that reads slowly says nothing about the runner."""


class EventPace:
    """Measures the pace of a stream from its first to its last event.

    The time to the first event depends on the prompt and is not included.
    """

    def __init__(self) -> None:
        self._first_ms = 0.0
        self._last_ms = 0.0
        self._blocked_ms = 0.0
        self._later_events = -1

    def record(self, events: int, *, received_ms: float, written_ms: float) -> None:
        """Record events that arrived together and were then written to the caller."""
        if not events:
            return
        if self._later_events < 0:
            self._later_events = 0
            self._first_ms = self._last_ms = written_ms
            return
        self._later_events += events
        self._last_ms = written_ms
        self._blocked_ms += written_ms - received_ms

    def event_ms(self) -> float:
        """Return the mean time per event after the first; 0 if it is not known."""
        span_ms = self._last_ms - self._first_ms
        if self._later_events <= 0 or self._blocked_ms > MAX_BLOCKED_SHARE * span_ms:
            return 0.0
        return span_ms / self._later_events
