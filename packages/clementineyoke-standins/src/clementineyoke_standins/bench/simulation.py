"""Runs a workload against a policy in virtual time and collects metrics."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.load_bound import DEFAULT_LOAD_FACTOR, SLACK_SLOTS
from clementineyoke_standins.bench.world import REPORT_INTERVAL_MS

if TYPE_CHECKING:
    from clementineyoke_standins.bench.policies.policy import Policy
    from clementineyoke_standins.bench.workload import Request
    from clementineyoke_standins.bench.world import World

TICK_MS = 250.0


class SimulationMetrics(NamedTuple):
    """Metrics of one run; all but ``requests`` exclude the warm-up."""

    requests: int
    refused: int
    reuse: float
    """Share of returning requests whose runner had their context cached."""
    max_reuse: float
    """Share of returning requests whose context was cached on any runner."""
    worst_skew: float
    """Maximum over all samples of (largest load - SLACK_SLOTS) / mean load."""
    grants_over_bound: int
    """Requests begun on a runner already at the bound of the true mean load."""
    worst_excess: int
    """Largest number of slots by which one of these exceeded the bound."""
    samples: list[tuple[float, float, int]]
    """Time in milliseconds, mean load and largest load of each sample."""


class Replacement(NamedTuple):
    """A runner that leaves the pool and the one that replaces it."""

    at_ms: float
    removed_id: str
    added_id: str


class Simulation:
    """Event loop in virtual time for one run."""

    def __init__(
        self,
        *,
        world: World,
        policy: Policy,
        requests: list[Request],
        warm_up_ms: float,
        replacements: list[Replacement] | None = None,
    ) -> None:
        self._world = world
        self._policy = policy
        self._requests = requests
        self._warm_up_ms = warm_up_ms
        self._replacements = list(replacements or [])
        self._completions: list[tuple[float, int, str, int]] = []
        self._next_tick_ms = 0.0
        self._next_report_ms = 0.0
        self._returns = self._hits = self._cached = 0
        self._refused = self._over_bound = self._worst_excess = 0
        self._worst_skew = 0.0
        self._samples: list[tuple[float, float, int]] = []

    def run(self) -> SimulationMetrics:
        """Process all requests and return the metrics."""
        for number, request in enumerate(self._requests):
            self._advance(request.at_ms)
            self._begin(number, request)
        returns = max(1, self._returns)
        return SimulationMetrics(
            len(self._requests),
            self._refused,
            self._hits / returns,
            self._cached / returns,
            self._worst_skew,
            self._over_bound,
            self._worst_excess,
            self._samples,
        )

    def _advance(self, until_ms: float) -> None:
        while True:
            end_ms = self._completions[0][0] if self._completions else math.inf
            replacement_ms = (
                self._replacements[0].at_ms if self._replacements else math.inf
            )
            next_ms = min(end_ms, replacement_ms, self._next_tick_ms)
            if next_ms > until_ms:
                return
            if next_ms == end_ms:
                _, _, runner_id, request_number = heapq.heappop(self._completions)
                self._world.end(runner_id)
                self._policy.finish(runner_id, request_number, now_ms=next_ms)
            elif next_ms == replacement_ms:
                self._replace(self._replacements.pop(0))
            else:
                self._tick(next_ms)

    def _tick(self, now_ms: float) -> None:
        self._policy.tick(now_ms=now_ms)
        if now_ms >= self._next_report_ms:
            self._world.record_report(now_ms)
            self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        if now_ms >= self._warm_up_ms:
            self._sample(now_ms)
        self._next_tick_ms = now_ms + TICK_MS

    def _sample(self, now_ms: float) -> None:
        mean = self._world.mean_load()
        max_load = max(self._world.loads.values())
        self._samples.append((now_ms, mean, max_load))
        if mean > 0:
            skew = (max_load - SLACK_SLOTS) / mean
            self._worst_skew = max(self._worst_skew, skew)

    def _begin(self, number: int, request: Request) -> None:
        cached = request.is_return and self._world.is_cached(request.chat)
        choice = self._policy.choose(request, now_ms=request.at_ms)
        is_counted = request.at_ms >= self._warm_up_ms
        if choice.runner_id is None:
            self._refused += is_counted
            return
        if is_counted:
            self._check_bound(choice.runner_id)
        hit = self._world.begin(choice.runner_id, request.chat)
        if is_counted and request.is_return:
            self._returns += 1
            self._hits += hit
            self._cached += cached
        end_ms = request.at_ms + request.duration_ms
        heapq.heappush(
            self._completions, (end_ms, number, choice.runner_id, choice.request_number)
        )

    def _check_bound(self, runner_id: str) -> None:
        bound = math.floor(DEFAULT_LOAD_FACTOR * self._world.mean_load()) + SLACK_SLOTS
        excess = self._world.loads[runner_id] + 1 - bound
        if excess > 0:
            self._over_bound += 1
            self._worst_excess = max(self._worst_excess, excess)

    def _replace(self, replacement: Replacement) -> None:
        self._world.replace(replacement.removed_id, replacement.added_id)
        self._policy.replace_runners(list(self._world.loads))
