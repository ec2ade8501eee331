"""A stream for log lines that never blocks and never floods."""

from __future__ import annotations

import os
import select
import time

LINES_PER_S = 400.0
"""A node at its largest share of the design load writes about 50 lines a second: three
for each of 13 calls, and a few of its own."""
MOST_SAVED_LINES = 2_000.0
LONGEST_LINE_BYTES = 4_096
"""A pipe takes this much at once or nothing, so that no line is torn."""


class BoundedStream:
    """Write lines to a file descriptor while it takes them, at a bounded rate.

    A reader of the log that stops reading fills the pipe, and an ordinary write then
    stops the whole process, seen as a node that is frozen. A line that does not fit now
    is dropped and counted; the count is written before the next line that fits.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        most_saved: float = MOST_SAVED_LINES,
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._most_saved = most_saved
        self._saved = most_saved
        self._filled_s = time.monotonic()
        self.dropped = 0
        """Lines dropped since the last one that was written."""

    def write_line(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._take() or not self._is_writable():
            self.dropped += 1
            return
        if self.dropped:
            line = f"{_dropped_line(self.dropped)}\n{line}"
            self.dropped = 0
        os.write(self._descriptor, f"{line}\n".encode()[:LONGEST_LINE_BYTES])

    def _take(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self._filled_s) * self._lines_per_s
        self._saved = min(self._most_saved, self._saved + earned)
        self._filled_s = now_s
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _dropped_line(count: int) -> str:
    # Written here and not as an event: the event would want a line of its own.
    return f'{{"message":"log_dropped","event":105,"lines":{count}}}'
