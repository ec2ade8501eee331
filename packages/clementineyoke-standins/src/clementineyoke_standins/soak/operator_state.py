"""Desired states and runner entries that the operator of a soak writes."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.written_specs import (
    route_spec,
    runner_spec,
    state_spec,
)

if TYPE_CHECKING:
    from clementineyoke_standins.edge.edge_store import EdgeStore
    from clementineyoke_standins.soak.loopback import Endpoint

HOSTNAME = "shop.example"
TEAM = "team-one"
POOL = "pool"
COLD_START_S = 2.0
COLD_CALLS_PER_S = 10.0
KEY_OVERLAP_S = 1.0
"""How long callers use the old key, and then the new one, while both are valid."""


class RouteKind(Enum):
    """Kinds of routes in a soak, with one route each."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "streaming"


class ListedRunner(Protocol):
    """What a runner's entry tells besides its address and state."""

    runner_id: str
    zone: str
    version: str


class WithdrawnKey(NamedTuple):
    """A key that the operator has withdrawn."""

    key: str
    confirmed_s: float
    """Monotonic time at which the store confirmed the version without the key."""


class ZoneEvacuation(NamedTuple):
    """Evacuation of a zone, whose runners must get no new calls."""

    zone: str
    start_s: float
    """Monotonic time at which the store confirmed the evacuation."""
    end_s: float
    """Monotonic time at which the operator began to end the evacuation."""


class OperatorState:
    """Write desired states and entries to the store and record when they change."""

    def __init__(self, *, store: EdgeStore) -> None:
        self._store = store
        self._key_number = 0
        self._version = 0
        self.current_key = "key-0"
        """The key that callers must use at present."""
        self.key_issued_s: dict[str, float] = {}
        """Monotonic time at which the store confirmed the first version with a key."""
        self.withdrawn_keys: list[WithdrawnKey] = []
        self.runner_left_s: dict[str, float] = {}
        """Monotonic time at which the store confirmed that a runner leaves."""
        self.evacuations: list[ZoneEvacuation] = []
        self._born_ms: dict[str, int] = {}

    async def write_initial(self) -> None:
        """Write the first desired state."""
        await self._write_state([self.current_key])

    async def change_key(self) -> None:
        """Issue a new key and withdraw the old one after an overlap."""
        old = self.current_key
        self._key_number += 1
        new = f"key-{self._key_number}"
        await self._write_state([old, new])
        await asyncio.sleep(KEY_OVERLAP_S)
        self.current_key = new
        await asyncio.sleep(KEY_OVERLAP_S)
        await self._write_state([new])
        self.withdrawn_keys.append(WithdrawnKey(old, time.monotonic()))

    async def write_versions(self, count: int, *, interval_s: float) -> None:
        """Write a number of state versions in quick succession."""
        for _ in range(count):
            await self._write_state([self.current_key])
            await asyncio.sleep(interval_s)

    async def write_entry(
        self,
        runner: ListedRunner,
        endpoint: Endpoint,
        *,
        state: str = "ready",
        born_ms: int | None = None,
        cold_ms: int = 0,
    ) -> None:
        """Write a runner's entry, with its start time once it has been restarted.

        Later entries repeat the start time: an entry without one would belong to the
        previous lifetime.
        """
        if born_ms is not None:
            self._born_ms[runner.runner_id] = born_ms
        spec = runner_spec(
            pool=POOL,
            address=str(endpoint),
            zone=runner.zone,
            state=state,
            born_ms=self._born_ms.get(runner.runner_id),
            cold_ms=cold_ms,
            version=runner.version,
        )
        await self._store.put(names.RUNNERS_KIND, runner.runner_id, spec)
        if state != "ready":
            self.runner_left_s.setdefault(runner.runner_id, time.monotonic())

    async def write_foreign_entry(self, name: str) -> None:
        """Write an entry with half of a surrogate pair in a text."""
        await self._store.put(names.RUNNERS_KIND, name, {"service": "\ud800"})

    async def remove_foreign_entry(self, name: str) -> None:
        """Remove such an entry."""
        await self._store.remove(names.RUNNERS_KIND, name)

    async def remove_entry(self, runner: ListedRunner) -> None:
        """Remove the entry of a runner that has left."""
        await self.remove_entry_of(runner.runner_id)

    async def remove_entry_of(self, runner_id: str) -> None:
        """Remove the entry under the ID of a runner that has left or has a new ID."""
        await self._store.remove(names.RUNNERS_KIND, runner_id)
        self.runner_left_s.setdefault(runner_id, time.monotonic())

    async def evacuate_zone(self, zone: str, *, duration_s: float) -> None:
        """Evacuate a zone for a time in seconds."""
        await self._store.put(names.EVACUATIONS_KIND, zone, {})
        start_s = time.monotonic()
        await asyncio.sleep(duration_s)
        self.evacuations.append(ZoneEvacuation(zone, start_s, time.monotonic()))
        await self._store.remove(names.EVACUATIONS_KIND, zone)

    async def _write_state(self, keys: list[str]) -> None:
        self._version += 1
        routes = [_route(kind) for kind in RouteKind]
        spec = state_spec(
            version=self._version,
            routes=routes,
            team=TEAM,
            keys=keys,
            cold_s=COLD_START_S,
            cold_calls_per_s=COLD_CALLS_PER_S,
        )
        await self._store.put(names.STATE_KIND, names.STATE_NAME, spec)
        for key in keys:
            self.key_issued_s.setdefault(key, time.monotonic())


def _route(kind: RouteKind) -> dict[str, Any]:
    return route_spec(
        hostname=HOSTNAME,
        kind=kind.value,
        pool=POOL,
        max_runners=1 if kind is RouteKind.NON_IDEMPOTENT else 2,
        is_resumable=kind is RouteKind.STREAM,
    )
