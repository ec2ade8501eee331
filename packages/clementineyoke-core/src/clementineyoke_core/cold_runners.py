"""Runners that have recently started and take only a limited rate of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.runner import Runner


class ColdRunnerLimit(NamedTuple):
    """Limit set by the operator for a pool's runners after their start."""

    calls_per_s: float
    """Calls a second from all nodes that a cold runner takes; 0 for no limit."""
    duration_ms: float
    """How long a runner stays cold after its start."""


NO_LIMIT = ColdRunnerLimit(0.0, 0.0)


class ColdRunners:
    """Track until when each runner is cold, by its own report or the operator's limit.

    A cold runner that gets calls at the usual rate crashes: it then ends a second after
    each start, together with all calls sent to it, and starts again.
    """

    def __init__(self) -> None:
        self._limits: Mapping[str, ColdRunnerLimit] = {}
        self._until_ms: dict[str, float] = {}
        self._before_suspicion_ms: dict[str, float] = {}
        """Until when a runner was cold before it was suspected to be."""

    def set_limits(self, limits: Mapping[str, ColdRunnerLimit]) -> None:
        """Set the operator's limits, by pool."""
        self._limits = limits

    def record_report(
        self, runner: Runner, *, remaining_ms: float, now_ms: float
    ) -> None:
        """Record a runner's own report of how much longer it is cold; 0 for warm."""
        self._before_suspicion_ms.pop(runner.lifetime, None)
        if remaining_ms > 0.0:
            self._until_ms[runner.lifetime] = now_ms + remaining_ms
        else:
            self._until_ms.pop(runner.lifetime, None)

    def assume_cold(self, runner: Runner, *, now_ms: float) -> None:
        """Treat a runner as cold for the operator's duration from now.

        Never shortens a longer time that the runner has reported.
        """
        self._before_suspicion_ms.pop(runner.lifetime, None)
        self._extend(runner, now_ms)

    def suspect_cold(self, runner: Runner, *, now_ms: float) -> None:
        """Treat a runner as cold until this is confirmed or withdrawn."""
        until_ms = self._until_ms.get(runner.lifetime, now_ms)
        self._before_suspicion_ms.setdefault(runner.lifetime, until_ms)
        self._extend(runner, now_ms)

    def confirm_suspicion(self, runner: Runner) -> None:
        """Record that a runner was rightly treated as cold."""
        self._before_suspicion_ms.pop(runner.lifetime, None)

    def withdraw_suspicion(self, runner: Runner) -> None:
        """Treat a runner as it was before it was suspected to be cold."""
        before_ms = self._before_suspicion_ms.pop(runner.lifetime, None)
        if before_ms is not None:
            self._until_ms[runner.lifetime] = before_ms

    def remaining_ms(self, runner: Runner, *, now_ms: float) -> float:
        """Return how much longer a runner is cold; 0 for a warm one."""
        return max(0.0, self._until_ms.get(runner.lifetime, now_ms) - now_ms)

    def calls_per_s(self, runner: Runner, *, now_ms: float) -> float | None:
        """Return a cold runner's limit, or None for a warm one or without a limit."""
        if not self.remaining_ms(runner, now_ms=now_ms):
            return None
        return self._limits.get(runner.pool, NO_LIMIT).calls_per_s or None

    def retain(self, live_lifetimes: set[str]) -> None:
        """Remove the state of all lifetimes but the given ones."""
        for lifetime in self._until_ms.keys() - live_lifetimes:
            del self._until_ms[lifetime]
            self._before_suspicion_ms.pop(lifetime, None)

    def _extend(self, runner: Runner, now_ms: float) -> None:
        duration_ms = self._limits.get(runner.pool, NO_LIMIT).duration_ms
        until_ms = self._until_ms.get(runner.lifetime, now_ms)
        if duration_ms > 0.0:
            self._until_ms[runner.lifetime] = max(until_ms, now_ms + duration_ms)
