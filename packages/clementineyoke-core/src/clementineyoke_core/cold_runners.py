"""Which runners have just started and bear only some calls a second for now."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.runner import Runner


class ColdRunnerLimit(NamedTuple):
    """What the operator says of a pool's runners after their start."""

    calls_per_s: float
    """Calls a second that a cold runner bears over all nodes; 0 for no limit."""
    duration_ms: float
    """How long a runner stays cold after its start."""


NO_LIMIT = ColdRunnerLimit(0.0, 0.0)


class ColdRunners:
    """Know until when each runner is cold, by its own word or by the operator's figure.

    A cold runner ends when it gets calls at the usual rate: seen as runners that end a
    second after each start, with all the calls that were sent there, and start again.
    """

    def __init__(self) -> None:
        self._limits: Mapping[str, ColdRunnerLimit] = {}
        self._until_ms: dict[str, float] = {}

    def set_limits(self, limits: Mapping[str, ColdRunnerLimit]) -> None:
        """Take the operator's figures by pool."""
        self._limits = limits

    def record_report(
        self, runner: Runner, *, remaining_ms: float, now_ms: float
    ) -> None:
        """Take a runner's own word on how much longer it is cold; 0 ends it."""
        if remaining_ms > 0.0:
            self._until_ms[runner.lifetime] = now_ms + remaining_ms
        else:
            self._until_ms.pop(runner.lifetime, None)

    def assume_cold(self, runner: Runner, *, now_ms: float) -> None:
        """Take a runner for cold until it would be warm after a start now."""
        lasts_ms = self._limits.get(runner.pool, NO_LIMIT).duration_ms
        known_ms = self._until_ms.get(runner.lifetime, now_ms)
        if lasts_ms > 0.0:
            self._until_ms[runner.lifetime] = max(known_ms, now_ms + lasts_ms)

    def remaining_ms(self, runner: Runner, *, now_ms: float) -> float:
        """Return how much longer a runner is cold; 0 for a warm one."""
        return max(0.0, self._until_ms.get(runner.lifetime, now_ms) - now_ms)

    def calls_per_s(self, runner: Runner, *, now_ms: float) -> float | None:
        """Return what a cold runner bears; None for a warm one or without a limit."""
        if not self.remaining_ms(runner, now_ms=now_ms):
            return None
        return self._limits.get(runner.pool, NO_LIMIT).calls_per_s or None

    def retain(self, kept: set[str]) -> None:
        """Drop what is known of lifetimes that are over."""
        for lifetime in self._until_ms.keys() - kept:
            del self._until_ms[lifetime]
