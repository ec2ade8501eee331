"""Rate-limited, non-blocking output stream for log lines."""

from __future__ import annotations

import os
import select
import time

MAX_LINES_PER_S = 400.0
"""A node at its maximum share of the design load writes about 50 lines per second:
three for each of 13 calls, and a few of its own."""
MAX_BURST_LINES = 2_000.0
MAX_LINE_BYTES = 4_096
"""A pipe accepts a write of up to this size whole or not at all (``PIPE_BUF``), so a
line is never split."""


class BoundedStream:
    """Write lines to a file descriptor without blocking, at a limited rate.

    If the log collector stops reading, the pipe fills up and a blocking write would
    freeze the whole node. Lines that cannot be written immediately are dropped and
    counted; the count is written before the next line that goes through.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        max_lines_per_s: float = MAX_LINES_PER_S,
        max_burst_lines: float = MAX_BURST_LINES,
    ) -> None:
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._max_burst_lines = max_burst_lines
        self._tokens = max_burst_lines
        self._refilled_s = time.monotonic()
        self.dropped = 0
        """Lines dropped since the last successful write."""

    def write_line(self, line: str) -> None:
        """Write a line, or drop it and count it."""
        if not self._try_spend() or not self._is_writable():
            self.dropped += 1
            return
        if self.dropped:
            line = f"{_render_dropped_count(self.dropped)}\n{line}"
            self.dropped = 0
        os.write(self._descriptor, f"{line}\n".encode()[:MAX_LINE_BYTES])

    def _try_spend(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._max_lines_per_s
        self._tokens = min(self._max_burst_lines, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _render_dropped_count(count: int) -> str:
    # Formatted by hand: logging it as an event would need another line from the limit.
    return f'{{"message":"log_dropped","event":105,"lines":{count}}}'
