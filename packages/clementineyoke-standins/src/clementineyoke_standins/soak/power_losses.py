"""Releases one after the other, and a loss of power of all nodes after each."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_store import StoreFault
from clementineyoke_standins.soak.signal_releases import (
    RESUMPTIONS_S,
    STREAMS_BEGIN_S,
    SignalReleases,
)

if TYPE_CHECKING:
    from clementineyoke_standins.soak.runner_process import RunnerProcess
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

WRITE_METHODS = frozenset(("POST", "PUT"))
WRITE_FAULTS = (
    StoreFault.UNAVAILABLE,
    StoreFault.SILENT,
    StoreFault.LOST_REPLY,
)
SKEWS_S = (-90.0, -2.4, 0.0, 2.4, 90.0)
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STATUS_OK = 200


class PowerLosses(SignalReleases):
    """Play releases in series of two or three, each with a loss of all nodes.

    Around some releases the store refuses writes or answers none, so that nodes end
    before they have stored the new version or the streams of a pool.
    """

    def __init__(self, *, fleet: SoakFleet, length_s: float, **shared: Any) -> None:
        """Create releases that begin new series for a time in seconds."""
        super().__init__(nodes=fleet.nodes, state=fleet.state, **shared)
        self._fleet = fleet
        self._length_s = length_s
        self._plan_rng = Random(self._rng.random())
        """Apart from draws in replacements, whose order depends on the load."""

    async def run(self) -> None:
        """Play series of releases of versions that no runner had, and of rollbacks."""
        versions = ["v1"]
        end_s = time.monotonic() + self._length_s
        while time.monotonic() < end_s:
            for _ in range(self._plan_rng.randint(2, 3)):
                is_rollback = len(versions) > 1 and self._plan_rng.random() < 0.3
                new = f"v{len(versions) + 1}"
                former = versions[-1]
                versions.append(versions[-2] if is_rollback else new)
                await asyncio.sleep(self._plan_rng.uniform(0.5, 1.5) * STREAMS_BEGIN_S)
                if await self._release_and_lose(versions[-1], former):
                    versions.append(former)
            await asyncio.sleep(RESUMPTIONS_S)

    async def _release_and_lose(self, version: str, former: str) -> bool:
        """Release a version, and return whether it was taken back amid the loss."""
        runners = self._plan_rng.sample(list(self._runners), len(self._runners))
        is_whole = self._plan_rng.random() < 0.5
        is_taken_back = self._plan_rng.random() < 0.3
        is_lost_again = self._plan_rng.random() < 0.5
        lasts_until_end = self._plan_rng.random() < 0.5
        delay_s = self._plan_rng.uniform(0.1, 3.0)
        has_write_fault = self._plan_rng.random() < 0.6
        write_fault = self._plan_rng.choice(WRITE_FAULTS) if has_write_fault else None
        part = "all" if is_whole else "half"
        acts = [f"{part} to {version}", f"lost after {delay_s:.1f} s"]
        if write_fault is not None:
            acts.append(f"writes {write_fault.value}")
            self._fail_writes(write_fault)
        async with asyncio.TaskGroup() as tasks:
            for runner in runners if is_whole else runners[: len(runners) // 2]:
                tasks.create_task(self._replace(runner, version))
            await asyncio.sleep(delay_s)
            if is_taken_back:
                acts.append(f"back to {former}")
                for runner in runners:
                    tasks.create_task(self._take_back(runner, version, former))
            await self._lose_nodes(acts, heals_early=not lasts_until_end)
            if is_lost_again:
                acts.append("lost again")
                await self._wait_until_ready()
                await asyncio.sleep(self._plan_rng.uniform(0.2, 1.5))
                await self._lose_nodes(acts, heals_early=True)
        self._heal_store()
        self.played.append(", ".join(acts))
        await self._wait_until_ready()
        return is_taken_back

    async def _take_back(self, runner: RunnerProcess, version: str, to: str) -> None:
        """Replace a runner of a version by one of another, without notice."""
        async with self._runner_locks[runner.number]:
            if runner.version == version:
                former_id = runner.runner_id
                await runner.end(signal.SIGKILL)
                await runner.restart(version=to, has_new_id=True)
                await self._write_entry(runner)
                await self._state.remove_entry_of(former_id)

    async def _lose_nodes(self, acts: list[str], *, heals_early: bool) -> None:
        """Kill all nodes at once and start them after a time."""
        for node in self._nodes:
            node.send(signal.SIGKILL)
        await asyncio.gather(*(node.kill() for node in self._nodes))
        if self._plan_rng.random() < 0.3:
            acts.append("clocks stepped")
            for node in self._nodes:
                node.step_clock(self._plan_rng.choice(SKEWS_S))
        await asyncio.sleep(self._plan_rng.uniform(0.5, 2.5))
        if heals_early:
            self._heal_store()
        silence_s = (
            self._plan_rng.uniform(0.5, 3.0) if self._plan_rng.random() < 0.3 else 0.0
        )
        if silence_s:
            acts.append("store silent")
            self._heal_store()
            self._fleet.store.fault = StoreFault.SILENT
        await self._start_nodes()
        if silence_s:
            await asyncio.sleep(silence_s)
            self._heal_store()

    def _fail_writes(self, fault: StoreFault) -> None:
        self._fleet.store.faulty_methods = WRITE_METHODS
        self._fleet.store.fault = fault

    def _heal_store(self) -> None:
        self._fleet.store.fault = None
        self._fleet.store.faulty_methods = None

    async def _wait_until_ready(self) -> None:
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
            for node in self._nodes:
                url = f"http://{node.settings['ready']}{names.READY_PATH}"
                while not await _is_ready(session, url):
                    await asyncio.sleep(POLL_INTERVAL_S)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == STATUS_OK
    except (aiohttp.ClientError, OSError):
        return False
