"""Baseline policies; each uses only data that a router of its kind would have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.load_bound import DEFAULT_LOAD_FACTOR, compute_load_bound
from clementineyoke_standins.bench.policies.policy import Choice

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_standins.bench.workload import Request
    from clementineyoke_standins.bench.world import World


class Baseline:
    """Base class with a list of runners and no state per request."""

    def __init__(self, *, world: World, rng: Random) -> None:
        self._world = world
        self._rng = rng
        self._runner_ids = list(world.loads)
        self._ring = HashRing()
        self._ring.set_members(self._runner_ids)

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the runner for a request; implemented by subclasses."""
        raise NotImplementedError

    def finish(self, runner_id: str, request_number: int, *, now_ms: float) -> None:
        """Do nothing, since baselines keep no state per request."""

    def tick(self, *, now_ms: float) -> None:
        """Do nothing, since baselines have no periodic work."""

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Replace the set of runners."""
        self._runner_ids = list(runner_ids)
        self._ring.set_members(runner_ids)


class RoundRobin(Baseline):
    """Chooses the runners in turn."""

    _next = 0

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the next runner."""
        self._next = (self._next + 1) % len(self._runner_ids)
        return Choice(self._runner_ids[self._next])


class LeastReported(Baseline):
    """Chooses the runner with the lowest reported load."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the least loaded runner by report; ties are broken at random."""
        reported = self._world.reported_loads(now_ms)
        runner_id = min(
            self._runner_ids, key=lambda r: (reported.get(r, 0), self._rng.random())
        )
        return Choice(runner_id)


class TwoChoices(Baseline):
    """Chooses the runner with the lower reported load of two drawn at random."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the less loaded of two random runners."""
        reported = self._world.reported_loads(now_ms)
        candidates = self._rng.sample(self._runner_ids, 2)
        return Choice(min(candidates, key=lambda r: reported.get(r, 0)))


class PlainHash(Baseline):
    """Consistent hashing without a load bound."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the first runner on the ring for the key."""
        return Choice(self._ring.first(request.key))


class StaleBounded(Baseline):
    """Consistent hashing with bounded loads, based on reported loads."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the first runner in ring order whose report is under the bound."""
        return Choice(
            self._first_under_bound(request, self._world.reported_loads(now_ms))
        )

    def _first_under_bound(self, request: Request, loads: dict[str, int]) -> str | None:
        mean_load = sum(loads.values()) / max(1, len(loads))
        bound = compute_load_bound(
            mean_load=mean_load, slots=self._world.slots, factor=DEFAULT_LOAD_FACTOR
        )
        for runner_id in self._ring.order(request.key):
            if loads.get(runner_id, 0) < bound:
                return runner_id
        return None


class Oracle(StaleBounded):
    """Bounded loads with exact loads, and each chat's last runner is known."""

    def __init__(self, *, world: World, rng: Random) -> None:
        super().__init__(world=world, rng=rng)
        self._last_runner: dict[str, str] = {}

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the chat's last runner, or the next one if that is at the bound."""
        loads = self._world.loads
        last_runner = self._last_runner.get(request.chat)
        bound = compute_load_bound(
            mean_load=self._world.mean_load(),
            slots=self._world.slots,
            factor=DEFAULT_LOAD_FACTOR,
        )
        if last_runner in loads and loads[last_runner] < bound:
            return Choice(last_runner)
        runner_id = self._first_under_bound(request, loads)
        if runner_id is not None:
            self._last_runner[request.chat] = runner_id
        return Choice(runner_id)
