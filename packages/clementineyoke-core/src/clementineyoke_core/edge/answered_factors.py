"""Factors of calls that runners have recently answered."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.edge.crash_factors import CrashFactors
    from clementineyoke_core.edge.crash_records import Crash

MAX_ANSWERS = 4_096
SURVIVAL_MS = 250.0
"""How long a runner must have lived on after an answer that clears its call's factors.
"""


class LastAnswer(NamedTuple):
    """The latest complete, successful answer to a team's call with a factor."""

    answered_ms: float
    lifetime: str
    """Runner that gave the answer."""


class AnsweredFactors:
    """Remember when teams' calls with a factor were last answered, if they fit.

    A factor that was answered between two crashes did not cause both.
    """

    def __init__(self) -> None:
        self._answers: dict[tuple[bytes, int], LastAnswer] = {}

    def record(self, factors: CrashFactors, *, lifetime: str, now_ms: float) -> None:
        """Record a complete, successful answer to a call with these factors."""
        for digest in factors.digests:
            key = digest, factors.team
            self._answers.pop(key, None)
            self._answers[key] = LastAnswer(now_ms, lifetime)
            if len(self._answers) > MAX_ANSWERS:
                del self._answers[next(iter(self._answers))]

    def answered_ms(
        self, digest: bytes, team: int, *, crashes: Iterable[Crash]
    ) -> float | None:
        """Return the time of the latest answer to a team's call with a factor, if any.

        An answer does not count if it came just before its runner crashed, which is
        then one of ``crashes``.
        """
        answer = self._answers.get((digest, team))
        if answer is None:
            return None
        has_survived = all(
            crash.crashed_ms - answer.answered_ms >= SURVIVAL_MS
            for crash in crashes
            if crash.runner == answer.lifetime
        )
        return answer.answered_ms if has_survived else None
