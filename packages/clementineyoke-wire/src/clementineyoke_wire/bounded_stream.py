"""Rate-limited, non-blocking output stream for log lines."""

from __future__ import annotations

import os
import select
import time
from collections import deque

MAX_LINES_PER_S = 400.0
"""A node at its maximum share of the design load writes about 50 lines per second:
three for each of 13 calls, and a few of its own."""
MAX_BURST_LINES = 2_000.0
RESERVED_SHARE = 0.1
"""Share of the burst that only important lines may use."""
MAX_PENDING_LINES = 500
"""Important lines that wait for a full pipe; 2 MB at most."""
MAX_LINE_BYTES = 4_096
"""A pipe accepts a write of up to this size whole or not at all (``PIPE_BUF``), so a
line is never split."""


class BoundedStream:
    """Write lines to a file descriptor without blocking, at a limited rate.

    If the log collector stops reading, the pipe fills up and a blocking write would
    freeze the whole node. Lines that cannot be written immediately are dropped and
    counted; the count is written before the next line that goes through. Important
    lines, such as warnings, wait instead, and are written before any later line.
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
        self._pending: deque[str] = deque()
        self.dropped = 0
        """Lines dropped since the last successful write."""

    def write_line(self, line: str, *, is_important: bool = False) -> None:
        """Write a line; drop it and count it, or keep it, if that is not possible."""
        self._refill()
        self._write_pending()
        if not self._pending and self._try_write(line, is_important=is_important):
            return
        if is_important and len(self._pending) < MAX_PENDING_LINES:
            self._pending.append(line)
        else:
            self.dropped += 1

    def _write_pending(self) -> None:
        while self._pending and self._try_write(self._pending[0], is_important=True):
            self._pending.popleft()

    def _try_write(self, line: str, *, is_important: bool) -> bool:
        reserved = 0.0 if is_important else RESERVED_SHARE * self._max_burst_lines
        if self._tokens < 1.0 + reserved or not self._is_writable():
            return False
        self._tokens -= 1.0
        if self.dropped:
            line = f"{_render_dropped_count(self.dropped)}\n{line}"
            self.dropped = 0
        os.write(self._descriptor, f"{line}\n".encode()[:MAX_LINE_BYTES])
        return True

    def _refill(self) -> None:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._max_lines_per_s
        self._tokens = min(self._max_burst_lines, self._tokens + refill)
        self._refilled_s = now_s

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


def _render_dropped_count(count: int) -> str:
    # Formatted by hand: logging it as an event would need another line from the limit.
    return f'{{"message":"log_dropped","event":105,"lines":{count}}}'
