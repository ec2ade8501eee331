"""The one serialized writer of every runner's state on this node."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.runner_state import RunnerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.runner import Runner

FIRST_QUARANTINE_MS = 500
LONGEST_QUARANTINE_MS = 30_000
LIST_LAG_MS = 30_000
"""How long a runner's own word outweighs a list that still shows it live."""


class RunnerEntry(NamedTuple):
    """A runner with its state and the evidence for it."""

    runner: Runner
    state: RunnerState
    failures: int
    """Transport failures in a row, before a request had begun."""
    retry_at_ms: float
    """When a quarantined runner may be probed again, or a list that shows a draining
    one live is believed; monotonic."""


class RunnerTable:
    """Keep each runner's state; all evidence comes through its methods.

    Evidence of several kinds races: the list (lagging), probes and own traffic. What
    goes wrong without one writer: a probe that began before a drain marks the runner
    ready again, seen as new work on a leaving runner. Draining is therefore final
    here until the list drops the runner or shows it live again; and when the runner
    itself said so, a lagging list that still shows it live is not believed for a while.
    """

    def __init__(self) -> None:
        self._entries: dict[str, RunnerEntry] = {}
        self._evacuated: dict[str, int] = {}
        self._backoffs: dict[str, float] = {}
        """Until when this node backs off from which lifetimes; monotonic."""

    def set_evacuated_zones(self, zones: dict[str, int]) -> None:
        """Take the zones whose runners get nothing new, with the orders' revisions."""
        self._evacuated = zones

    def evacuated_zones(self) -> dict[str, int]:
        """Return those zones, for logs and status pages."""
        return self._evacuated

    def is_evacuated(self, runner: Runner) -> bool:
        """Return whether the operator wants nothing new for a runner's zone."""
        return runner.availability_zone in self._evacuated

    def apply_host_list(
        self, *, live: Iterable[Runner], leaving: Iterable[Runner], now_ms: float
    ) -> bool:
        """Take a new host list; return whether the set of runners changed."""
        entries: dict[str, RunnerEntry] = {}
        for runner in live:
            entries[runner.runner_id] = self._keep_or_add(runner, now_ms)
        for runner in leaving:
            entries[runner.runner_id] = RunnerEntry(
                runner, RunnerState.DRAINING, 0, 0.0
            )
        changed = entries.keys() != self._entries.keys()
        self._entries = entries
        return changed

    def get(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner's entry, or None if the list does not hold it."""
        return self._entries.get(runner_id)

    def entries(self) -> list[RunnerEntry]:
        """Return all entries, for status pages and ring building."""
        return list(self._entries.values())

    def by_pool(self, *, region: str) -> dict[str, list[str]]:
        """Return the ids of a region's runners by pool, whatever their states."""
        pools: dict[str, list[str]] = {}
        for entry in self._entries.values():
            if entry.runner.region == region:
                pool = pools.setdefault(entry.runner.pool, [])
                pool.append(entry.runner.runner_id)
        return pools

    def is_ready(self, runner_id: str) -> bool:
        """Return whether a runner may get new work now."""
        entry = self._entries.get(runner_id)
        if entry is None or not self._is_open(entry.runner):
            return False
        return entry.state is RunnerState.READY

    def is_current(self, runner: Runner) -> bool:
        """Return whether the list holds this very lifetime of a runner.

        Word of a call to an earlier lifetime says nothing of the runner there now.
        """
        entry = self._entries.get(runner.runner_id)
        return entry is not None and entry.runner.lifetime == runner.lifetime

    def is_draining(self, runner_id: str) -> bool:
        """Return whether a runner drains or is gone."""
        entry = self._entries.get(runner_id)
        return entry is None or entry.state is RunnerState.DRAINING

    def is_quarantined(self, runner_id: str) -> bool:
        """Return whether a runner is out for a while after failures."""
        entry = self._entries.get(runner_id)
        return entry is not None and entry.state is RunnerState.QUARANTINED

    def may_be_pressed(self, runner_id: str) -> bool:
        """Return whether a quarantined runner may get calls if no other one can."""
        entry = self._entries.get(runner_id)
        if entry is None or not self._is_open(entry.runner):
            return False
        return entry.state is RunnerState.QUARANTINED

    def is_backed_off(self, runner: Runner) -> bool:
        """Return whether this node backs off from a runner that asked for it."""
        return runner.lifetime in self._backoffs

    def why_closed(self, runner_id: str) -> str | None:
        """Return by which signal of its own a runner takes no calls, or None."""
        entry = self._entries.get(runner_id)
        if entry is None:
            return None
        if entry.state is RunnerState.DRAINING:
            return "draining"
        return "backoff" if self.is_backed_off(entry.runner) else None

    def backoff_remaining_ms(self, pool: str, *, now_ms: float) -> float:
        """Return the shortest time left to back off from a runner of a pool.

        0 if there is none. Draining runners and those of an emptied zone are left out:
        they take no calls afterwards either.
        """
        left_ms = [
            self._backoffs[entry.runner.lifetime] - now_ms
            for entry in self._entries.values()
            if entry.runner.pool == pool
            and entry.runner.lifetime in self._backoffs
            and entry.state is not RunnerState.DRAINING
            and not self.is_evacuated(entry.runner)
        ]
        return max(0.0, min(left_ms, default=0.0))

    def record_backoff(
        self, runner: Runner, *, backoff_ms: float, now_ms: float
    ) -> bool:
        """Back off from a runner for a while; return whether that prolongs it.

        A later refusal with a shorter time does not end an earlier backoff.
        """
        until_ms = now_ms + backoff_ms
        if until_ms <= self._backoffs.get(runner.lifetime, 0.0):
            return False
        self._backoffs[runner.lifetime] = until_ms
        return True

    def end_expired_backoffs(self, *, now_ms: float) -> None:
        """Let calls go again to runners whose backoff is over."""
        for lifetime in [name for name, due in self._backoffs.items() if due <= now_ms]:
            del self._backoffs[lifetime]

    def record_draining(self, runner_id: str, *, now_ms: float) -> None:
        """Note that the runner itself said that it is leaving."""
        entry = self._entries.get(runner_id)
        if entry is not None:
            self._entries[runner_id] = RunnerEntry(
                entry.runner, RunnerState.DRAINING, 0, now_ms + LIST_LAG_MS
            )

    def record_transport_failure(self, runner_id: str, *, now_ms: float) -> None:
        """Quarantine a runner that failed before a request had begun."""
        entry = self._entries.get(runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            return
        failures = entry.failures + 1
        pause_ms = min(FIRST_QUARANTINE_MS * 2 ** (failures - 1), LONGEST_QUARANTINE_MS)
        self._entries[runner_id] = RunnerEntry(
            entry.runner, RunnerState.QUARANTINED, failures, now_ms + pause_ms
        )

    def record_probe(self, runner_id: str, *, ready: bool, now_ms: float) -> None:
        """Take a probe's answer; a ready one ends quarantine and warm-up."""
        entry = self._entries.get(runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            return
        if ready:
            self._entries[runner_id] = entry._replace(state=RunnerState.READY)
            return
        if entry.state is RunnerState.QUARANTINED:
            self.record_transport_failure(runner_id, now_ms=now_ms)
            return
        self._entries[runner_id] = entry._replace(state=RunnerState.NOT_READY)

    def record_success(self, runner_id: str) -> None:
        """Forget earlier failures once a request has been answered."""
        entry = self._entries.get(runner_id)
        if entry is not None and entry.failures:
            self._entries[runner_id] = entry._replace(failures=0)

    def end_expired_quarantines(self, *, now_ms: float) -> list[str]:
        """Let runners back whose quarantine is over, and return their ids.

        For runners whose status checks have a price or say little: the next call is
        the proof, and a failure doubles the next quarantine.
        """
        due = [
            runner_id
            for runner_id, entry in self._entries.items()
            if entry.state is RunnerState.QUARANTINED and entry.retry_at_ms <= now_ms
        ]
        for runner_id in due:
            entry = self._entries[runner_id]
            self._entries[runner_id] = entry._replace(state=RunnerState.READY)
        return due

    def due_for_probe(self, *, now_ms: float) -> list[Runner]:
        """Return the runners whose quarantine or warm-up wants a probe now."""
        return [
            entry.runner
            for entry in self._entries.values()
            if entry.state is RunnerState.NOT_READY
            or (entry.state is RunnerState.QUARANTINED and entry.retry_at_ms <= now_ms)
        ]

    def _is_open(self, runner: Runner) -> bool:
        return not self.is_evacuated(runner) and not self.is_backed_off(runner)

    def _keep_or_add(self, runner: Runner, now_ms: float) -> RunnerEntry:
        known = self._entries.get(runner.runner_id)
        if known is None or known.runner.lifetime != runner.lifetime:
            # Failures and a leaving of the lifetime before say nothing of this one.
            return RunnerEntry(runner, RunnerState.READY, 0, 0.0)
        if known.state is RunnerState.DRAINING and known.retry_at_ms <= now_ms:
            return RunnerEntry(runner, RunnerState.READY, 0, 0.0)
        return known._replace(runner=runner)
