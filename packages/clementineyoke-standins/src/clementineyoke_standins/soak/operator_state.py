"""The operator of the soak: versions of the desired state, and runners' entries."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.written_specs import (
    route_spec,
    runner_spec,
    state_spec,
)

if TYPE_CHECKING:
    from clementineyoke_standins.edge.edge_runner import EdgeRunner
    from clementineyoke_standins.edge.edge_store import EdgeStore
    from clementineyoke_standins.soak.loopback import Endpoint

HOSTNAME = "shop.example"
TEAM = "team-one"
POOL = "pool"
COLD_S = 2.0
COLD_CALLS_PER_S = 10.0
OVERLAP_S = 1.0
"""How long an old key and its successor are both good, so that callers can change."""


class RouteKind(Enum):
    """The routes of the soak, one for each kind."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "streaming"


class WithdrawnKey(NamedTuple):
    """A key that the operator has taken away."""

    key: str
    confirmed_s: float
    """When the store confirmed the version without it; monotonic."""


class EmptiedZone(NamedTuple):
    """A zone that was to get nothing new."""

    zone: str
    from_s: float
    """When the store confirmed the order; monotonic."""
    until_s: float
    """When the operator began to take it back."""


class OperatorState:
    """Write desired states and entries into the store, and remember what is owed."""

    def __init__(self, *, store: EdgeStore) -> None:
        self._store = store
        self._number = 0
        self._version = 0
        self.key = "key-0"
        """The key that callers are to use."""
        self.issued: dict[str, float] = {}
        """When the store confirmed the first version with a key; monotonic."""
        self.withdrawn: list[WithdrawnKey] = []
        self.left: dict[str, float] = {}
        """When the store confirmed that a runner leaves or is gone; monotonic."""
        self.emptied: list[EmptiedZone] = []
        self._born_ms: dict[str, int] = {}

    async def begin(self) -> None:
        """Write the first desired state."""
        await self._put([self.key])

    async def change_key(self) -> None:
        """Give out a new key, and take the old one away a little later."""
        old = self.key
        self._number += 1
        new = f"key-{self._number}"
        await self._put([old, new])
        await asyncio.sleep(OVERLAP_S)
        self.key = new
        await asyncio.sleep(OVERLAP_S)
        await self._put([new])
        self.withdrawn.append(WithdrawnKey(old, time.monotonic()))

    async def storm(self, count: int, *, gap_s: float) -> None:
        """Write versions in quick succession; each differs from the one before."""
        for _ in range(count):
            await self._put([self.key])
            await asyncio.sleep(gap_s)

    async def enter(
        self,
        runner: EdgeRunner,
        at: Endpoint,
        *,
        state: str = "ready",
        born_ms: int | None = None,
        cold_ms: int = 0,
    ) -> None:
        """Write a runner's entry; one that has started again says when it was born.

        It goes on saying so: an entry without it would be the lifetime's before.
        """
        if born_ms is not None:
            self._born_ms[runner.runner_id] = born_ms
        spec = runner_spec(
            pool=POOL,
            address=str(at),
            zone=runner.zone,
            state=state,
            born_ms=self._born_ms.get(runner.runner_id),
            cold_ms=cold_ms,
        )
        await self._store.put(names.RUNNERS_KIND, runner.runner_id, spec)
        if state != "ready":
            self.left.setdefault(runner.runner_id, time.monotonic())

    async def remove(self, runner: EdgeRunner) -> None:
        """Remove a runner's entry: it has left."""
        await self._store.remove(names.RUNNERS_KIND, runner.runner_id)
        self.left.setdefault(runner.runner_id, time.monotonic())

    async def empty_zone(self, zone: str, *, for_s: float) -> None:
        """Order that a zone's runners get nothing new, and take that back."""
        await self._store.put(names.EVACUATIONS_KIND, zone, {})
        from_s = time.monotonic()
        await asyncio.sleep(for_s)
        self.emptied.append(EmptiedZone(zone, from_s, time.monotonic()))
        await self._store.remove(names.EVACUATIONS_KIND, zone)

    async def _put(self, keys: list[str]) -> None:
        self._version += 1
        routes = [_route(kind) for kind in RouteKind]
        spec = state_spec(
            version=self._version,
            routes=routes,
            team=TEAM,
            keys=keys,
            cold_s=COLD_S,
            cold_calls_per_s=COLD_CALLS_PER_S,
        )
        await self._store.put(names.STATE_KIND, names.STATE_NAME, spec)
        for key in keys:
            self.issued.setdefault(key, time.monotonic())


def _route(kind: RouteKind) -> dict[str, Any]:
    return route_spec(
        hostname=HOSTNAME,
        kind=kind.value,
        pool=POOL,
        most_runners=1 if kind is RouteKind.NON_IDEMPOTENT else 2,
        is_resumable=kind is RouteKind.STREAM,
    )
