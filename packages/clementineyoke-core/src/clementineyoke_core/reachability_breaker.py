"""Circuit breaker for runners that accept no connections."""

from __future__ import annotations

from typing import NamedTuple

REPORT_TTL_MS = 1_000.0
"""How long a report counts; those on a dead runner arrive closer together than this."""
MIN_REPORTERS = 2
"""Reporting nodes before a pause begins; a single one may itself be cut off.

Two of them, with no answer to any node since, show that the runner is at fault.
"""
MIN_PAUSE_MS = 500.0
MAX_PAUSE_MS = 1_000.0
"""Pauses grow while the runner is unreachable, as a call or two fail after each one.

The limit is also the longest time until a runner that is back gets its chats again.
"""
PAUSE_GROWTH = 2.0
DOUBT_MS = 2_000.0
"""How long the reports of nodes that were wrong about a runner do not suffice."""


class _Outage(NamedTuple):
    """Reports on a runner since its last answer, with its current pause."""

    reports: tuple[tuple[str, float], ...] = ()
    """Nodes that could not reach the runner, each with the time of its report."""
    paused_until_ms: float = 0.0
    pause_ms: float = 0.0
    reporters: tuple[str, ...] = ()
    """Nodes whose reports began the current pause."""


class ReachabilityBreaker:
    """Pause runners that several nodes cannot reach and that answer no node.

    Each node on its own loses a call or two before it detects a dead runner: with 195
    nodes, calls failed for the whole 4 s for which a runner was unreachable. The home
    receives the reports of all nodes and also learns of answers, which tell a dead
    runner from a busy one and from nodes that are cut off themselves.

    Several nodes may be cut off at once. The home therefore has each pause verified by
    other nodes, and ends it if one of them reaches the runner.
    """

    def __init__(self) -> None:
        self._outages: dict[str, _Outage] = {}
        self._doubted: dict[str, dict[str, float]] = {}
        """Until when reporters are doubted, by runner and node."""

    def record_answer(self, runner_id: str) -> None:
        """Record that a runner answered a call."""
        self._outages.pop(runner_id, None)

    def record_unreachable(
        self, runner_id: str, *, reporter: str, now_ms: float
    ) -> bool:
        """Record that a node could not connect; return whether a pause begins."""
        outage = self._outages.get(runner_id, _Outage())
        if outage.paused_until_ms > now_ms:
            return False
        reports = tuple(
            report for report in outage.reports if report[1] > now_ms - REPORT_TTL_MS
        )
        reports += ((reporter, now_ms),)
        # After a pause one report is enough, as the runner has answered no node since.
        reporters = tuple(sorted({node_id for node_id, _ in reports}))
        is_enough = len(reporters) + bool(outage.pause_ms) >= MIN_REPORTERS
        doubted = self._doubted.get(runner_id, {})
        if not is_enough or all(doubted.get(n, 0.0) > now_ms for n in reporters):
            self._outages[runner_id] = outage._replace(reports=reports)
            return False
        pause_ms = max(MIN_PAUSE_MS, PAUSE_GROWTH * outage.pause_ms)
        pause_ms = min(MAX_PAUSE_MS, pause_ms)
        self._outages[runner_id] = _Outage((), now_ms + pause_ms, pause_ms, reporters)
        return True

    def record_reached(self, runner_id: str, *, now_ms: float) -> bool:
        """End the pause of a runner that another node reaches.

        Return whether there was one.
        """
        outage = self._outages.pop(runner_id, None)
        if outage is None or not outage.reporters:
            return False
        doubted = self._doubted.setdefault(runner_id, {})
        doubted.update(dict.fromkeys(outage.reporters, now_ms + DOUBT_MS))
        return True

    def reporters(self, runner_id: str) -> list[str]:
        """Return the nodes whose reports began a runner's current pause."""
        return list(self._outages.get(runner_id, _Outage()).reporters)

    def is_paused(self, runner_id: str, *, now_ms: float) -> bool:
        """Return whether a runner is paused and gets no calls now."""
        outage = self._outages.get(runner_id)
        return outage is not None and outage.paused_until_ms > now_ms

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner."""
        self._outages.pop(runner_id, None)
        self._doubted.pop(runner_id, None)
