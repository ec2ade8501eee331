"""Releases in which runners get new IDs and the nodes are killed meanwhile."""

from __future__ import annotations

import asyncio
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from clementineyoke_standins.edge.edge_runner import EdgeRunner
    from clementineyoke_standins.soak.node_process import NodeProcess
    from clementineyoke_standins.soak.schedule import PlannedFault
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

EVENT_PAUSE_S = 0.2
"""Pause that keeps streams open long enough for the kills to break them."""
STREAMS_BEGIN_S = 1.0
RESUMPTIONS_S = 2.0
DRAINING_S = 1.2


class NodeLoss(Enum):
    """Which nodes are killed in a release."""

    ALL = 0
    ALL_TWICE = 1
    """All of them amid the release, and again shortly after they have started."""
    HALVES = 2
    """Half of them before the release and the others after it."""
    ALL_IN_ROLLBACK = 3
    """All of them while runners return to the version before the release."""


class ReleaseInjector:
    """Replace the runners by ones of another version and kill nodes meanwhile."""

    def __init__(self, *, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._count = 0

    async def inject(self, fault: PlannedFault) -> None:
        """Play one release, in which the selector decides how nodes are killed."""
        rng = Random(fault.selector)
        self._count += 1
        version = f"release-{self._count}"
        acts = {
            NodeLoss.ALL: self._lose_all,
            NodeLoss.ALL_TWICE: self._lose_all_twice,
            NodeLoss.HALVES: self._lose_halves,
            NodeLoss.ALL_IN_ROLLBACK: self._lose_all_in_rollback,
        }
        for runner in self._fleet.runners:
            runner.event_pause_s = EVENT_PAUSE_S
        await asyncio.sleep(STREAMS_BEGIN_S)
        await acts[NodeLoss(fault.selector % len(NodeLoss))](rng, version)
        await asyncio.sleep(RESUMPTIONS_S)
        for runner in self._fleet.runners:
            runner.event_pause_s = 0.0

    async def _lose_all(self, rng: Random, version: str) -> None:
        """Kill all nodes amid the release; it goes on before or after they return."""
        first, rest = self._halves()
        goes_on_at_once = rng.random() < 0.7
        async with asyncio.TaskGroup() as replacements:
            replacements.create_task(self._replace(first, rng, version))
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            await self._kill(self._fleet.nodes)
            if goes_on_at_once:
                replacements.create_task(self._replace(rest, rng, version))
            await asyncio.sleep(rng.uniform(0.3, 2.5))
            await self._start_nodes()
            if not goes_on_at_once:
                await asyncio.sleep(rng.uniform(0.5, 2.0))
                await self._replace(rest, rng, version)

    async def _lose_all_twice(self, rng: Random, version: str) -> None:
        await self._lose_all(rng, version)
        await asyncio.sleep(rng.uniform(0.3, 1.8))
        await self._kill(self._fleet.nodes)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await self._start_nodes()

    async def _lose_halves(self, rng: Random, version: str) -> None:
        half = len(self._fleet.nodes) // 2
        await self._kill(self._fleet.nodes[:half])
        await self._replace(self._fleet.runners, rng, version)
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        await self._start_nodes()
        await asyncio.sleep(rng.uniform(0.3, 1.8))
        await self._kill(self._fleet.nodes[half:])
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await self._start_nodes()

    async def _lose_all_in_rollback(self, rng: Random, version: str) -> None:
        former = self._fleet.runners[0].version
        await self._replace(self._fleet.runners, rng, version)
        await asyncio.sleep(rng.uniform(1.2, 2.5))
        await self._lose_all(rng, former)

    def _halves(self) -> tuple[list[EdgeRunner], list[EdgeRunner]]:
        runners = self._fleet.runners
        return runners[: len(runners) // 2], runners[len(runners) // 2 :]

    async def _replace(
        self, runners: Sequence[EdgeRunner], rng: Random, version: str
    ) -> None:
        """Replace runners at once, some of them after they have drained."""
        staying = [r for r in runners if not self._fleet.is_leaving(r)]
        drained = [runner for runner in staying if rng.random() < 0.5]
        for runner in staying:
            if runner not in drained:
                self._fleet.restart_runner(runner, version=version, has_new_id=True)
        for runner in drained:
            await self._fleet.announce_leave(runner)
        if drained:
            await asyncio.sleep(DRAINING_S)
        for runner in drained:
            await self._fleet.state.remove_entry(runner)
            self._fleet.restart_runner(runner, version=version, has_new_id=True)

    async def _kill(self, nodes: Sequence[NodeProcess]) -> None:
        await asyncio.gather(*(node.kill() for node in nodes))

    async def _start_nodes(self) -> None:
        for node in self._fleet.nodes:
            if not node.is_running:
                await node.start()
