"""Circuit breaker for runners that fail too large a share of their calls."""

from __future__ import annotations

from typing import NamedTuple

HALF_LIFE_MS = 4_000.0
"""Half-life of the counts; short, so that a repaired runner soon gets calls again."""
MIN_FAULTS = 2.5
"""Three recent faults; fewer may be caused by the calls rather than the runner."""
MAX_FAULT_SHARE = 0.2
"""Share of faults that is still normal: services fail a seventh of some calls."""
MIN_PAUSE_MS = 1_000.0
MAX_PAUSE_MS = 8_000.0
PAUSE_GROWTH = 2.0


class _Tally(NamedTuple):
    """Decayed counts of a runner's calls and faults, with its current pause."""

    calls: float = 0.0
    faults: float = 0.0
    counted_at_ms: float = 0.0
    """Time to which the counts are decayed."""
    paused_until_ms: float = 0.0
    pause_ms: float = 0.0


class FaultRateBreaker:
    """Pause runners that fail calls although their status check succeeds.

    One node sees a small part of a runner's calls: with nine nodes and six runners, two
    consecutive faults at one node are seconds apart, and chats keep failing meanwhile.
    The runner's home counts the slots that it grants without queuing and receives the
    fault reports of all nodes, so it detects a faulty runner within a few calls of the
    whole fleet.
    """

    def __init__(self) -> None:
        self._tallies: dict[str, _Tally] = {}

    def record_call(self, runner_id: str, *, now_ms: float) -> None:
        """Record a granted call."""
        tally = self._decayed(runner_id, now_ms)
        self._tallies[runner_id] = tally._replace(calls=tally.calls + 1)

    def record_fault(self, runner_id: str, *, now_ms: float) -> bool:
        """Record a call that failed or is overdue; return whether a pause begins."""
        tally = self._decayed(runner_id, now_ms)
        tally = tally._replace(faults=tally.faults + 1)
        self._tallies[runner_id] = tally
        share = tally.faults / max(tally.calls, tally.faults)
        is_paused = tally.paused_until_ms > now_ms
        if is_paused or tally.faults < MIN_FAULTS or share <= MAX_FAULT_SHARE:
            return False
        pause_ms = max(MIN_PAUSE_MS, PAUSE_GROWTH * tally.pause_ms)
        pause_ms = min(MAX_PAUSE_MS, pause_ms)
        self._tallies[runner_id] = tally._replace(
            paused_until_ms=now_ms + pause_ms, pause_ms=pause_ms
        )
        return True

    def is_paused(self, runner_id: str, *, now_ms: float) -> bool:
        """Return whether a runner is paused and gets no calls now."""
        tally = self._tallies.get(runner_id)
        return tally is not None and tally.paused_until_ms > now_ms

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner."""
        self._tallies.pop(runner_id, None)

    def _decayed(self, runner_id: str, now_ms: float) -> _Tally:
        tally = self._tallies.get(runner_id, _Tally(counted_at_ms=now_ms))
        factor = 0.5 ** (max(0.0, now_ms - tally.counted_at_ms) / HALF_LIFE_MS)
        pause_ms = tally.pause_ms
        if tally.paused_until_ms + MAX_PAUSE_MS < now_ms:
            pause_ms = 0.0
        return tally._replace(
            calls=tally.calls * factor,
            faults=tally.faults * factor,
            counted_at_ms=now_ms,
            pause_ms=pause_ms,
        )
