"""The baselines: each sees only what its kind of router would see."""

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
    """What the baselines share: a list of runners and nothing to keep."""

    def __init__(self, *, world: World, rng: Random) -> None:
        self._world = world
        self._rng = rng
        self._runner_ids = list(world.loads)
        self._ring = HashRing()
        self._ring.set_members(self._runner_ids)

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the runner for a request; each baseline says how."""
        raise NotImplementedError

    def finish(self, runner_id: str, hold: int, *, now_ms: float) -> None:
        """Keep nothing."""

    def tick(self, *, now_ms: float) -> None:
        """Do nothing."""

    def replace_runners(self, runner_ids: list[str]) -> None:
        """Take a new set of runners."""
        self._runner_ids = list(runner_ids)
        self._ring.set_members(runner_ids)


class RoundRobin(Baseline):
    """Each runner in turn."""

    _next = 0

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the next runner."""
        self._next = (self._next + 1) % len(self._runner_ids)
        return Choice(self._runner_ids[self._next])


class LeastReported(Baseline):
    """The runner with the least reported load."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return it; ties go to any."""
        reported = self._world.reported(now_ms)
        runner_id = min(
            self._runner_ids, key=lambda r: (reported.get(r, 0), self._rng.random())
        )
        return Choice(runner_id)


class TwoChoices(Baseline):
    """The less reported of two at random."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return it."""
        reported = self._world.reported(now_ms)
        pair = self._rng.sample(self._runner_ids, 2)
        return Choice(min(pair, key=lambda r: reported.get(r, 0)))


class PlainHash(Baseline):
    """Consistent hashing without a bound."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the key's owner."""
        return Choice(self._ring.first(request.key))


class StaleBounded(Baseline):
    """Consistent hashing with bounded loads, on reported loads."""

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the first runner of the order under the bound as reported."""
        return Choice(self._first_under_bound(request, self._world.reported(now_ms)))

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
    """Bounded loads with exact loads at no cost, and it knows where a chat was last."""

    def __init__(self, *, world: World, rng: Random) -> None:
        super().__init__(world=world, rng=rng)
        self._last: dict[str, str] = {}

    def choose(self, request: Request, *, now_ms: float) -> Choice:
        """Return the chat's last runner if it is under the bound, else the next."""
        loads = self._world.loads
        last = self._last.get(request.chat)
        bound = compute_load_bound(
            mean_load=self._world.mean_load(),
            slots=self._world.slots,
            factor=DEFAULT_LOAD_FACTOR,
        )
        if last in loads and loads[last] < bound:
            return Choice(last)
        runner_id = self._first_under_bound(request, loads)
        if runner_id is not None:
            self._last[request.chat] = runner_id
        return Choice(runner_id)
