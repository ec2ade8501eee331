"""Detection of failing runners from the outcomes of this node's own calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable

HALF_LIFE_MS = 4_000.0
"""Half-life of recorded outcomes, so that a repaired runner is soon used again."""
MIN_FAILURES = 1.8
"""Two failures in quick succession; a single one may be the fault of the call."""
MAX_FAILURE_SHARE = 0.25
"""Share of failed calls that is still normal: services fail a seventh of some calls
without a fault of their runner."""


class Tally(NamedTuple):
    """Exponentially decayed counts of a runner's successful and failed calls."""

    successes: float
    failures: float
    at_ms: float

    def decayed(self, now_ms: float) -> Tally:
        """Return the counts decayed to the given time."""
        factor = 0.5 ** (max(0.0, now_ms - self.at_ms) / HALF_LIFE_MS)
        return Tally(self.successes * factor, self.failures * factor, now_ms)


EMPTY_TALLY = Tally(0.0, 0.0, 0.0)


class RunnerHealth:
    """Quarantine runners on transport failures and on too many failed calls.

    A runner may fail part of its calls while its status check passes. Affinity would
    keep sending calls there, so that some chats fail repeatedly and others never do.
    """

    def __init__(self, *, table: RunnerTable) -> None:
        self._table = table
        self._tallies: dict[str, Tally] = {}

    def record_success(self, runner: Runner, *, now_ms: float) -> None:
        """Record a call that a runner answered completely."""
        if not self._table.is_current(runner):
            return
        tally = self._tally(runner, now_ms)
        self._tallies[runner.lifetime] = tally._replace(successes=tally.successes + 1)
        self._table.record_success(runner.runner_id)

    def record_failure(
        self, runner: Runner, *, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Record a failed attempt; may quarantine the runner.

        Calls that fail together prolong the quarantine once. Otherwise a runner that
        was silent for a second amid many calls would be out of use for half a minute.
        """
        if not self._table.is_current(runner):
            return
        if outcome is AttemptOutcome.NOT_SENT:
            self._quarantine(runner, now_ms=now_ms)
            return
        tally = self._tally(runner, now_ms)
        tally = tally._replace(failures=tally.failures + 1)
        self._tallies[runner.lifetime] = tally
        share = tally.failures / (tally.failures + tally.successes)
        if tally.failures >= MIN_FAILURES and share > MAX_FAILURE_SHARE:
            self._quarantine(runner, now_ms=now_ms)

    def _quarantine(self, runner: Runner, *, now_ms: float) -> None:
        """Quarantine a runner; one that is quarantined has failed these calls, too."""
        if not self._table.is_quarantined(runner.runner_id):
            self._table.quarantine(runner.runner_id, now_ms=now_ms)

    def retain(self, live_lifetimes: set[str]) -> None:
        """Drop the counts of all lifetimes but the given ones."""
        for lifetime in self._tallies.keys() - live_lifetimes:
            del self._tallies[lifetime]

    def _tally(self, runner: Runner, now_ms: float) -> Tally:
        return self._tallies.get(runner.lifetime, EMPTY_TALLY).decayed(now_ms)
