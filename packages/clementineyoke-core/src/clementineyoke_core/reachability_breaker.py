"""Which runners take no connections, seen by their homes."""

from __future__ import annotations

from typing import NamedTuple

EVIDENCE_MS = 1_000.0
"""How long one report counts: those of a dead runner come within this of each other."""
LEAST_REPORTERS = 2
"""One node that is cut off cannot reach any runner; two and no answer to anyone since
are the runner's own."""
FIRST_PAUSE_MS = 500.0
LONGEST_PAUSE_MS = 1_000.0
"""Pauses grow while the runner stays away: each lets a call or two meet it again, and
a runner that is back gets its chats after as long at the most."""
PAUSE_GROWTH = 2.0


class _Silence(NamedTuple):
    """What was reported of a runner since it last answered anyone."""

    reports: tuple[tuple[str, float], ...] = ()
    """Who could not reach it, and when."""
    until_ms: float = 0.0
    pause_ms: float = 0.0


class ReachabilityBreaker:
    """Pause runners that several nodes cannot reach while nobody is answered.

    A dead runner is met by each node on its own, and by each a call or two: on 195
    nodes a runner that was dark for 4 s cost calls until its end. Its home hears of all
    of them, and of the answers as well, which tell a dead runner from a busy one or
    from nodes that are cut off themselves.
    """

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}

    def record_answer(self, runner_id: str) -> None:
        """Note that a runner answered a call."""
        self._silences.pop(runner_id, None)

    def record_unreachable(
        self, runner_id: str, *, reporter: str, now_ms: float
    ) -> bool:
        """Note that a node could not reach a runner; return whether a pause begins."""
        silence = self._silences.get(runner_id, _Silence())
        if silence.until_ms > now_ms:
            return False
        reports = tuple(
            report for report in silence.reports if report[1] > now_ms - EVIDENCE_MS
        )
        reports += ((reporter, now_ms),)
        # After a pause one report is enough: nobody has been answered meanwhile.
        reporters = len({name for name, _ in reports}) + bool(silence.pause_ms)
        if reporters < LEAST_REPORTERS:
            self._silences[runner_id] = silence._replace(reports=reports)
            return False
        pause_ms = max(FIRST_PAUSE_MS, PAUSE_GROWTH * silence.pause_ms)
        pause_ms = min(LONGEST_PAUSE_MS, pause_ms)
        self._silences[runner_id] = _Silence((), now_ms + pause_ms, pause_ms)
        return True

    def is_paused(self, runner_id: str, *, now_ms: float) -> bool:
        """Whether a runner gets no calls now."""
        silence = self._silences.get(runner_id)
        return silence is not None and silence.until_ms > now_ms

    def remove_runner(self, runner_id: str) -> None:
        """Drop what is known of a runner."""
        self._silences.pop(runner_id, None)
