"""Play a workload against a policy in virtual time and measure what comes of it."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.load_bound import DEFAULT_LOAD_FACTOR, SLACK_SLOTS
from clementineyoke_standins.bench.world import REPORT_EVERY_MS

if TYPE_CHECKING:
    from clementineyoke_standins.bench.policies.policy import Policy
    from clementineyoke_standins.bench.workload import Request
    from clementineyoke_standins.bench.world import World

TICK_MS = 250.0


class Measured(NamedTuple):
    """The figures of one run."""

    requests: int
    refused: int
    reuse: float
    """Share of returning requests that found their context."""
    reuse_possible: float
    """Share whose context some runner still held."""
    worst_skew: float
    """Largest load over the mean, less the one slot, at any sample."""
    grants_over_bound: int
    """Requests begun on a runner that was at its bound of the true mean."""
    worst_excess: int
    """Slots by which the worst of them was over."""
    samples: list[tuple[float, float, int]]
    """Time, mean load, largest load."""


class Replacement(NamedTuple):
    """A runner that leaves and the one that joins in its place."""

    at_ms: float
    gone: str
    new: str


class Simulation:
    """Own the clock of one run."""

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
        self._ends: list[tuple[float, int, str, int]] = []
        self._next_tick_ms = 0.0
        self._next_report_ms = 0.0
        self._returns = self._hits = self._held = 0
        self._refused = self._over = self._worst_excess = 0
        self._worst_skew = 0.0
        self._samples: list[tuple[float, float, int]] = []

    def run(self) -> Measured:
        """Play all requests."""
        for number, request in enumerate(self._requests):
            self._advance(request.at_ms)
            self._begin(number, request)
        returns = max(1, self._returns)
        return Measured(
            len(self._requests),
            self._refused,
            self._hits / returns,
            self._held / returns,
            self._worst_skew,
            self._over,
            self._worst_excess,
            self._samples,
        )

    def _advance(self, until_ms: float) -> None:
        while True:
            end_ms = self._ends[0][0] if self._ends else math.inf
            gone_ms = self._replacements[0].at_ms if self._replacements else math.inf
            next_ms = min(end_ms, gone_ms, self._next_tick_ms)
            if next_ms > until_ms:
                return
            if next_ms == end_ms:
                _, _, runner_id, hold = heapq.heappop(self._ends)
                self._world.end(runner_id)
                self._policy.finish(runner_id, hold, now_ms=next_ms)
            elif next_ms == gone_ms:
                self._replace(self._replacements.pop(0))
            else:
                self._tick(next_ms)

    def _tick(self, now_ms: float) -> None:
        self._policy.tick(now_ms=now_ms)
        if now_ms >= self._next_report_ms:
            self._world.report(now_ms)
            self._next_report_ms = now_ms + REPORT_EVERY_MS
        if now_ms >= self._warm_up_ms:
            self._sample(now_ms)
        self._next_tick_ms = now_ms + TICK_MS

    def _sample(self, now_ms: float) -> None:
        mean = self._world.mean_load()
        most = max(self._world.loads.values())
        self._samples.append((now_ms, mean, most))
        if mean > 0:
            skew = (most - SLACK_SLOTS) / mean
            self._worst_skew = max(self._worst_skew, skew)

    def _begin(self, number: int, request: Request) -> None:
        held = request.is_return and self._world.is_held(request.chat)
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
            self._held += held
        end_ms = request.at_ms + request.duration_ms
        heapq.heappush(self._ends, (end_ms, number, choice.runner_id, choice.hold))

    def _check_bound(self, runner_id: str) -> None:
        bound = math.floor(DEFAULT_LOAD_FACTOR * self._world.mean_load()) + SLACK_SLOTS
        excess = self._world.loads[runner_id] + 1 - bound
        if excess > 0:
            self._over += 1
            self._worst_excess = max(self._worst_excess, excess)

    def _replace(self, replacement: Replacement) -> None:
        self._world.replace(replacement.gone, replacement.new)
        self._policy.replace_runners(list(self._world.loads))
