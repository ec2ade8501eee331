"""Which runners fail too large a share of their calls, seen by their homes."""

from __future__ import annotations

from typing import NamedTuple

HALF_LIFE_MS = 4_000.0
"""Evidence counts half after this: a runner that was mended is trusted again soon."""
LEAST_FAULTS = 2.5
"""Three faults close to each other; fewer may be the calls' own."""
LARGEST_SHARE = 0.2
"""Faulty share that is still ordinary; services fail a seventh of some calls."""
MIN_PAUSE_MS = 1_000.0
LONGEST_PAUSE_MS = 8_000.0
PAUSE_GROWTH = 2.0


class _Tally(NamedTuple):
    """Decayed counts of a runner's calls, and until when it gets none."""

    calls: float = 0.0
    faults: float = 0.0
    at_ms: float = 0.0
    until_ms: float = 0.0
    pause_ms: float = 0.0


class FaultRateBreaker:
    """Pause runners that fail while their status check is good.

    One node sees a small part of a runner's calls: with nine nodes and six runners two
    faults in a row at one node are seconds apart, and chats go on failing there. The
    runner's home counts every grant and hears of every fault, so it knows within a few
    calls of the whole fleet.
    """

    def __init__(self) -> None:
        self._tallies: dict[str, _Tally] = {}

    def record_call(self, runner_id: str, *, now_ms: float) -> None:
        """Note a call that was granted."""
        tally = self._decayed(runner_id, now_ms)
        self._tallies[runner_id] = tally._replace(calls=tally.calls + 1)

    def record_fault(self, runner_id: str, *, now_ms: float) -> bool:
        """Note a call that failed or is overdue; return whether a pause begins."""
        tally = self._decayed(runner_id, now_ms)
        tally = tally._replace(faults=tally.faults + 1)
        self._tallies[runner_id] = tally
        share = tally.faults / max(tally.calls, tally.faults)
        is_paused = tally.until_ms > now_ms
        if is_paused or tally.faults < LEAST_FAULTS or share <= LARGEST_SHARE:
            return False
        pause_ms = max(MIN_PAUSE_MS, PAUSE_GROWTH * tally.pause_ms)
        pause_ms = min(LONGEST_PAUSE_MS, pause_ms)
        self._tallies[runner_id] = tally._replace(
            until_ms=now_ms + pause_ms, pause_ms=pause_ms
        )
        return True

    def is_paused(self, runner_id: str, *, now_ms: float) -> bool:
        """Whether a runner gets no calls now."""
        tally = self._tallies.get(runner_id)
        return tally is not None and tally.until_ms > now_ms

    def remove_runner(self, runner_id: str) -> None:
        """Drop what is known of a runner."""
        self._tallies.pop(runner_id, None)

    def _decayed(self, runner_id: str, now_ms: float) -> _Tally:
        tally = self._tallies.get(runner_id, _Tally(at_ms=now_ms))
        factor = 0.5 ** (max(0.0, now_ms - tally.at_ms) / HALF_LIFE_MS)
        pause_ms = tally.pause_ms
        if tally.until_ms + LONGEST_PAUSE_MS < now_ms:
            pause_ms = 0.0
        return tally._replace(
            calls=tally.calls * factor,
            faults=tally.faults * factor,
            at_ms=now_ms,
            pause_ms=pause_ms,
        )
