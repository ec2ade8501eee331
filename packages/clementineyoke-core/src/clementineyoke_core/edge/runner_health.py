"""Which runners fail more than their peers, seen from this node's own calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable

HALF_LIFE_MS = 4_000.0
"""Evidence counts half after this: a runner that was mended is trusted again soon."""
LEAST_FAILURES = 1.8
"""Two failures close to each other; one alone may be the call's own fault."""
LARGEST_SHARE = 0.25
"""Failing share that is still taken for ordinary; services fail a seventh of some
calls by themselves."""


class Tally(NamedTuple):
    """Decayed counts of a runner's calls."""

    successes: float
    failures: float
    at_ms: float

    def decayed(self, now_ms: float) -> Tally:
        """Return the counts as of now."""
        factor = 0.5 ** (max(0.0, now_ms - self.at_ms) / HALF_LIFE_MS)
        return Tally(self.successes * factor, self.failures * factor, now_ms)


EMPTY = Tally(0.0, 0.0, 0.0)


class RunnerHealth:
    """Quarantine runners on transport failures and on too many failed calls.

    A runner may fail part of its calls while its status check is good. Calls would go
    on there by affinity, seen as chats that fail again and again while others thrive.
    """

    def __init__(self, *, table: RunnerTable) -> None:
        self._table = table
        self._tallies: dict[str, Tally] = {}

    def record_success(self, runner: Runner, *, now_ms: float) -> None:
        """Note a call that a runner answered whole."""
        if not self._table.is_current(runner):
            return
        tally = self._tally(runner, now_ms)
        self._tallies[runner.lifetime] = tally._replace(successes=tally.successes + 1)
        self._table.record_success(runner.runner_id)

    def record_failure(
        self, runner: Runner, *, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Note a failed attempt; may quarantine the runner."""
        if not self._table.is_current(runner):
            return
        if outcome is AttemptOutcome.NOT_SENT:
            self._table.record_transport_failure(runner.runner_id, now_ms=now_ms)
            return
        tally = self._tally(runner, now_ms)
        tally = tally._replace(failures=tally.failures + 1)
        self._tallies[runner.lifetime] = tally
        share = tally.failures / (tally.failures + tally.successes)
        if tally.failures >= LEAST_FAILURES and share > LARGEST_SHARE:
            self._table.record_transport_failure(runner.runner_id, now_ms=now_ms)

    def retain(self, live_lifetimes: set[str]) -> None:
        """Drop what is known of lifetimes that are over."""
        for lifetime in self._tallies.keys() - live_lifetimes:
            del self._tallies[lifetime]

    def _tally(self, runner: Runner, now_ms: float) -> Tally:
        return self._tallies.get(runner.lifetime, EMPTY).decayed(now_ms)
