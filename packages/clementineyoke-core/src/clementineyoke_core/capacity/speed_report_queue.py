"""Selects the speed reports that a node forwards to the runners' homes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.token_bucket import TokenBucket

if TYPE_CHECKING:
    from clementineyoke_core.capacity.speed_report import SpeedReport
    from clementineyoke_core.runner import Runner

MIN_INTERVAL_MS = 50.0
"""Shortest interval between two reports of one runner."""
MAX_REPORTS_PER_S = 20.0
BURST_REPORTS = 20.0
"""Limits on one node's messages. A report takes 61 bytes with IP and UDP headers, so
that all of them stay at 1.2 KB/s, of the 5 KB/s of control traffic."""
MAX_AGE_MS = 1_000.0
"""Older reports are not sent, as homes ignore them."""


class QueuedReport(NamedTuple):
    """A report that waits to be sent."""

    runner: Runner
    report: SpeedReport
    received_ms: float


class SpeedReportQueue:
    """Keep the newest unsent report of each runner until it may be sent."""

    def __init__(self) -> None:
        self._bucket = TokenBucket(
            rate_per_s=MAX_REPORTS_PER_S, burst=BURST_REPORTS, now_ms=0.0
        )
        self._queued: dict[str, QueuedReport] = {}
        self._sent: dict[str, QueuedReport] = {}
        """The last report sent of each runner, with the time at which it was sent."""

    def put(self, runner: Runner, report: SpeedReport, *, now_ms: float) -> None:
        """Queue a report in place of an earlier one of the runner."""
        self._queued[runner.lifetime] = QueuedReport(runner, report, now_ms)

    def take_due(self, *, now_ms: float) -> list[QueuedReport]:
        """Remove and return the reports to send now, largest changes first."""
        # Called for each response: sorting 1,170 reports takes about a millisecond.
        if self._bucket.level(now_ms=now_ms) < 1.0:
            return []
        due = [
            queued
            for lifetime, queued in self._queued.items()
            if lifetime not in self._sent
            or now_ms - self._sent[lifetime].received_ms >= MIN_INTERVAL_MS
        ]
        due.sort(key=self._change, reverse=True)
        taken = []
        for queued in due:
            if not self._bucket.take_one(now_ms=now_ms):
                break
            lifetime = queued.runner.lifetime
            self._sent[lifetime] = queued._replace(received_ms=now_ms)
            del self._queued[lifetime]
            taken.append(queued)
        return taken

    def expire(self, *, now_ms: float) -> None:
        """Remove what is older than ``MAX_AGE_MS``; bounds the tables."""
        for table in (self._queued, self._sent):
            for lifetime, queued in list(table.items()):
                if now_ms - queued.received_ms > MAX_AGE_MS:
                    del table[lifetime]

    def _change(self, queued: QueuedReport) -> int:
        sent = self._sent.get(queued.runner.lifetime)
        known_percent = 100 if sent is None else sent.report.slowdown_percent
        return abs(queued.report.slowdown_percent - known_percent)
