"""State of every runner on this node; the only place where it is changed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.lifetime_doubts import LifetimeDoubts
from clementineyoke_core.lifetime_ends import LifetimeEnds
from clementineyoke_core.runner_state import RunnerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.runner import Runner

MIN_QUARANTINE_MS = 500
MAX_QUARANTINE_MS = 30_000
MAX_LIST_LAG_MS = 30_000
"""How long a runner's own report overrides a host list that still shows it live."""


class RunnerEntry(NamedTuple):
    """A runner with its state."""

    runner: Runner
    state: RunnerState
    failures: int
    """Times that the runner was quarantined since its last answered request.

    A failed probe or call that prolongs a quarantine counts as well.
    """
    retry_at_ms: float
    """Monotonic time from which a quarantined runner may be probed again.

    For a draining runner: from which a host list that shows it live is believed.
    """


class RunnerTable:
    """Keep the state of each runner, from the host list, probes and own traffic.

    These sources race with each other: without a single writer, a probe that began
    before a drain marks the runner ready again, and a leaving runner gets new work.
    Draining therefore ends only when the list drops the runner or shows it live again.
    If the runner itself reported that it drains, a list that still shows it live is
    ignored for ``MAX_LIST_LAG_MS``, as the list lags behind.
    """

    def __init__(self) -> None:
        self._entries: dict[str, RunnerEntry] = {}
        self._evacuated_zones: dict[str, int] = {}
        self._backoffs: dict[str, float] = {}
        """Monotonic end of this node's backoff, by runner lifetime."""
        self.doubts = LifetimeDoubts()
        self.ends = LifetimeEnds()

    def set_evacuated_zones(self, zones: dict[str, int]) -> None:
        """Set the zones whose runners get no new work, with their orders' revisions."""
        self._evacuated_zones = zones

    def evacuated_zones(self) -> dict[str, int]:
        """Return the evacuated zones with the revisions of their orders."""
        return self._evacuated_zones

    def is_evacuated(self, runner: Runner) -> bool:
        """Return whether a runner's zone is evacuated by the operator."""
        return runner.availability_zone in self._evacuated_zones

    def apply_host_list(
        self, *, live: Iterable[Runner], leaving: Iterable[Runner], now_ms: float
    ) -> bool:
        """Apply a new host list; return whether the set of runners changed."""
        entries: dict[str, RunnerEntry] = {}
        for runner in live:
            self._record_end_before(runner, now_ms)
            entries[runner.runner_id] = self._keep_or_add(runner, now_ms)
        for runner in leaving:
            self._record_end_before(runner, now_ms)
            entries[runner.runner_id] = RunnerEntry(
                runner, RunnerState.DRAINING, 0, 0.0
            )
        changed = entries.keys() != self._entries.keys()
        self._entries = entries
        self.doubts.retain({entry.runner.lifetime for entry in entries.values()})
        return changed

    def get(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner's entry, or None if it is not on the host list."""
        return self._entries.get(runner_id)

    def find(self, runner_id: str, *, version: str | None) -> Runner | None:
        """Return a listed runner, or None if it may not have a software version.

        For None it may have any version.
        """
        if version is not None and not self.has_version(runner_id, version):
            return None
        entry = self._entries.get(runner_id)
        return None if entry is None else entry.runner

    def entries(self) -> list[RunnerEntry]:
        """Return the entries of all runners."""
        return list(self._entries.values())

    def by_pool(self, *, region: str) -> dict[str, list[str]]:
        """Return the ids of a region's runners by pool, whatever their states."""
        pools: dict[str, list[str]] = {}
        for entry in self._entries.values():
            if entry.runner.region == region:
                pool = pools.setdefault(entry.runner.pool, [])
                pool.append(entry.runner.runner_id)
        return pools

    def has_version(self, runner_id: str, version: str) -> bool:
        """Return whether a runner certainly has a software version."""
        entry = self._entries.get(runner_id)
        if entry is None or self.doubts.is_doubtful(entry.runner):
            return False
        return entry.runner.version == version

    def may_be_replaced(self, runner: Runner, *, connected_ms: float) -> bool:
        """Return whether another lifetime of a runner may answer a call sent to it.

        ``connected_ms`` is described at ``LifetimeDoubts``. The doubt about a lifetime
        ends with its entry, and the next lifetime may have got the call before that,
        whether its own entry is known or not.
        """
        entry = self._entries.get(runner.runner_id)
        if entry is None:
            return bool(runner.born_ms)
        if entry.runner.lifetime != runner.lifetime:
            return True
        return self.doubts.is_doubtful(runner, connected_ms=connected_ms)

    def has_doubtful_runner(self, pool: str) -> bool:
        """Return whether a runner of a pool may have started at another version."""
        return any(runner.pool == pool for runner in self.doubtful_runners())

    def doubtful_runners(self) -> list[Runner]:
        """Return the runners that may have started again since their entries."""
        if self.doubts.is_empty:
            return []
        runners = [entry.runner for entry in self._entries.values()]
        return [runner for runner in runners if self.doubts.is_doubtful(runner)]

    def is_ready(self, runner_id: str) -> bool:
        """Return whether a runner may get new work now."""
        entry = self._entries.get(runner_id)
        if entry is None or not self._is_available(entry.runner):
            return False
        return entry.state is RunnerState.READY

    def has_other_ready(self, runner: Runner, *, version: str | None) -> bool:
        """Return whether another runner of a pool may get new work now.

        It is to have a software version for certain, or any version for None.
        """
        return any(
            runner_id != runner.runner_id
            and entry.runner.pool == runner.pool
            and self.is_ready(runner_id)
            and (version is None or self.has_version(runner_id, version))
            for runner_id, entry in self._entries.items()
        )

    def is_current(self, runner: Runner) -> bool:
        """Return whether the host list has this lifetime of a runner.

        The outcome of a call to an earlier lifetime says nothing about the current one.
        """
        entry = self._entries.get(runner.runner_id)
        return entry is not None and entry.runner.lifetime == runner.lifetime

    def is_draining(self, runner_id: str) -> bool:
        """Return whether a runner is draining or not on the host list."""
        entry = self._entries.get(runner_id)
        return entry is None or entry.state is RunnerState.DRAINING

    def is_quarantined(self, runner_id: str) -> bool:
        """Return whether a runner is quarantined after failures."""
        entry = self._entries.get(runner_id)
        return entry is not None and entry.state is RunnerState.QUARANTINED

    def may_use_quarantined(self, runner_id: str) -> bool:
        """Return whether a quarantined runner may get calls when no runner is ready."""
        entry = self._entries.get(runner_id)
        if entry is None or not self._is_available(entry.runner):
            return False
        return entry.state is RunnerState.QUARANTINED

    def is_backed_off(self, runner: Runner) -> bool:
        """Return whether this node backs off from a runner at the runner's request."""
        return runner.lifetime in self._backoffs

    def unavailable_reason(self, runner_id: str) -> str | None:
        """Return ``draining`` or ``backoff`` if that keeps calls from a runner.

        Otherwise return None, even if the runner takes no calls for another reason,
        such as a quarantine or the evacuation of its zone.
        """
        entry = self._entries.get(runner_id)
        if entry is None:
            return None
        if entry.state is RunnerState.DRAINING:
            return "draining"
        return "backoff" if self.is_backed_off(entry.runner) else None

    def backoff_remaining_ms(self, pool: str, *, now_ms: float) -> float:
        """Return the shortest remaining backoff of a pool's runners, or 0 without any.

        Draining runners and those of an evacuated zone do not count, as they take no
        calls after the backoff either.
        """
        remaining_ms = [
            self._backoffs[entry.runner.lifetime] - now_ms
            for entry in self._entries.values()
            if entry.runner.pool == pool
            and entry.runner.lifetime in self._backoffs
            and entry.state is not RunnerState.DRAINING
            and not self.is_evacuated(entry.runner)
        ]
        return max(0.0, min(remaining_ms, default=0.0))

    def record_backoff(
        self, runner: Runner, *, backoff_ms: float, now_ms: float
    ) -> bool:
        """Back off from a runner; return whether that begins or prolongs a backoff.

        A later refusal with a shorter time does not end an earlier backoff.
        """
        until_ms = now_ms + backoff_ms
        if until_ms <= self._backoffs.get(runner.lifetime, 0.0):
            return False
        self._backoffs[runner.lifetime] = until_ms
        return True

    def end_expired_backoffs(self, *, now_ms: float) -> None:
        """Remove the backoffs that are over."""
        for lifetime in [key for key, end in self._backoffs.items() if end <= now_ms]:
            del self._backoffs[lifetime]

    def record_draining(self, runner_id: str, *, now_ms: float) -> None:
        """Record that a runner itself reported that it is draining."""
        entry = self._entries.get(runner_id)
        if entry is not None:
            self._entries[runner_id] = RunnerEntry(
                entry.runner, RunnerState.DRAINING, 0, now_ms + MAX_LIST_LAG_MS
            )

    def quarantine(self, runner_id: str, *, now_ms: float) -> None:
        """Quarantine a runner, or prolong its quarantine, after a failure.

        The quarantine doubles with each failure, up to ``MAX_QUARANTINE_MS``, until the
        runner answers a request.
        """
        entry = self._entries.get(runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            return
        failures = entry.failures + 1
        quarantine_ms = min(MIN_QUARANTINE_MS * 2 ** (failures - 1), MAX_QUARANTINE_MS)
        self._entries[runner_id] = RunnerEntry(
            entry.runner, RunnerState.QUARANTINED, failures, now_ms + quarantine_ms
        )

    def record_probe(self, runner_id: str, *, ready: bool, now_ms: float) -> None:
        """Record a probe's result; success marks the runner as ready.

        Failure prolongs a quarantine, or marks the runner as not ready. The state of a
        draining runner does not change.
        """
        entry = self._entries.get(runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            return
        if ready:
            self._entries[runner_id] = entry._replace(state=RunnerState.READY)
            return
        if entry.state is RunnerState.QUARANTINED:
            self.quarantine(runner_id, now_ms=now_ms)
            return
        self._entries[runner_id] = entry._replace(state=RunnerState.NOT_READY)

    def record_success(self, runner_id: str) -> None:
        """Reset the failure count after an answered request."""
        entry = self._entries.get(runner_id)
        if entry is not None and entry.failures:
            self._entries[runner_id] = entry._replace(failures=0)

    def end_expired_quarantines(self, *, now_ms: float) -> list[str]:
        """Mark runners ready whose quarantine is over, and return their ids.

        Replaces probes for runners whose status checks are expensive or unreliable:
        the next call is the test, and its failure doubles the next quarantine.
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

    def release_quarantined(self, pool: str) -> None:
        """Mark a pool's quarantined runners ready, as if they had never failed."""
        for runner_id, entry in self._entries.items():
            if entry.runner.pool == pool and entry.state is RunnerState.QUARANTINED:
                self._entries[runner_id] = entry._replace(
                    state=RunnerState.READY, failures=0
                )

    def due_for_probe(self, *, now_ms: float) -> list[Runner]:
        """Return the runners to probe: those not ready, and those due in quarantine."""
        return [
            entry.runner
            for entry in self._entries.values()
            if entry.state is RunnerState.NOT_READY
            or (entry.state is RunnerState.QUARANTINED and entry.retry_at_ms <= now_ms)
        ]

    def _is_available(self, runner: Runner) -> bool:
        return not self.is_evacuated(runner) and not self.is_backed_off(runner)

    def _record_end_before(self, runner: Runner, now_ms: float) -> None:
        """Record that a listed lifetime has ended, if a runner has another one now."""
        known = self._entries.get(runner.runner_id)
        if known is not None and known.runner.lifetime != runner.lifetime:
            self.ends.record(runner.runner_id, now_ms=now_ms)

    def _keep_or_add(self, runner: Runner, now_ms: float) -> RunnerEntry:
        known = self._entries.get(runner.runner_id)
        if known is None or known.runner.lifetime != runner.lifetime:
            # The state of the previous lifetime says nothing about this one.
            return RunnerEntry(runner, RunnerState.READY, 0, 0.0)
        if known.state is RunnerState.DRAINING and known.retry_at_ms <= now_ms:
            return RunnerEntry(runner, RunnerState.READY, 0, 0.0)
        return known._replace(runner=runner)
