"""Releases in which runner and node processes get signals."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from random import Random

    from clementineyoke_standins.soak.node_process import NodeProcess
    from clementineyoke_standins.soak.operator_state import OperatorState
    from clementineyoke_standins.soak.runner_process import RunnerProcess

STREAMS_BEGIN_S = 0.8
RESUMPTIONS_S = 2.0
ANNOUNCED_S = 0.6
STOP_TIMEOUT_S = 30.0
RESTARTS_PER_KEPT_ID = 4
OVERLAPS = 3
MS_PER_S = 1000


class Act(Enum):
    """What happens amid a release."""

    NODES_KILLED = "nodes killed"
    NODES_KILLED_TWICE = "nodes killed twice"
    NODES_STOPPED = "nodes stopped"
    """All nodes get SIGTERM at once, and streams outlast their stop deadline."""
    NODES_STOPPED_IN_TURN = "nodes stopped in turn"
    NODES_PAUSED = "nodes paused"
    RUNNERS_PAUSED = "runners paused"
    RUNNERS_CRASH = "runners crash"
    """Runners are killed and return with the version that they had."""


class SignalReleases:
    """Play releases one after the other, each with one or two acts.

    About every second one stops midway, so that two versions go on to serve.
    """

    def __init__(
        self,
        *,
        nodes: Sequence[NodeProcess],
        runners: Sequence[RunnerProcess],
        state: OperatorState,
        rng: Random,
        now_ms: Callable[[], int],
    ) -> None:
        self._nodes = list(nodes)
        self._runners = runners
        self._state = state
        self._rng = rng
        self._now_ms = now_ms
        self._crashes = 0
        self._node_locks = [asyncio.Lock() for _ in nodes]
        self._runner_locks = [asyncio.Lock() for _ in runners]
        self.played: list[str] = []
        self._acts: dict[Enum, Callable[[], Awaitable[object]]] = {
            Act.NODES_KILLED: self._kill_nodes,
            Act.NODES_KILLED_TWICE: self._kill_nodes_twice,
            Act.NODES_STOPPED: self._stop_nodes,
            Act.NODES_STOPPED_IN_TURN: self._stop_nodes_in_turn,
            Act.NODES_PAUSED: self._pause_nodes,
            Act.RUNNERS_PAUSED: self._pause_runners,
            Act.RUNNERS_CRASH: self._crash_runners,
        }

    async def write_entries(self) -> None:
        """Write the entries of all runners."""
        for runner in self._runners:
            await self._write_entry(runner)

    async def run(self) -> None:
        """Play each act alone, then some that overlap."""
        alone = self._rng.sample(list(Act), len(Act))
        pairs = [self._rng.sample(list(Act), 2) for _ in range(OVERLAPS)]
        versions = ["v1"]
        for acts in ([act] for act in alone), pairs:
            for number, together in enumerate(acts):
                # A rollback, or a version that no runner had.
                is_rollback = len(versions) > 1 and self._rng.random() < 0.3
                new = f"release-{len(together)}-{number}"
                versions.append(versions[-2] if is_rollback else new)
                self.played.append(" and ".join(act.value for act in together))
                await self._release(versions[-1], together)

    async def _release(self, version: str, acts: Sequence[Enum]) -> None:
        await asyncio.sleep(STREAMS_BEGIN_S)
        runners = self._rng.sample(list(self._runners), len(self._runners))
        half = len(runners) // 2
        async with asyncio.TaskGroup() as tasks:
            for runner in runners[:half]:
                tasks.create_task(self._replace(runner, version))
            await asyncio.sleep(self._rng.uniform(0.2, 1.8))
            for act in acts:
                tasks.create_task(self._start_act(act))
            await asyncio.sleep(self._rng.choice((0.0, self._rng.uniform(0.5, 3.0))))
            is_whole = self._rng.random() < 0.5
            for runner in runners[half:] if is_whole else ():
                tasks.create_task(self._replace(runner, version))
        await asyncio.sleep(RESUMPTIONS_S)

    async def _start_act(self, act: Enum) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.6))
        await self._acts[act]()

    async def _replace(self, runner: RunnerProcess, version: str) -> None:
        """End a runner by a signal, mostly with notice; it returns under a new ID."""
        is_announced = self._rng.random() < 0.5
        number = self._rng.choice((signal.SIGTERM, signal.SIGKILL))
        async with self._runner_locks[runner.number]:
            if is_announced:
                await self._write_entry(runner, state="draining")
                await asyncio.sleep(ANNOUNCED_S)
            former_id = runner.runner_id
            await runner.end(number)
            await asyncio.sleep(self._rng.choice((0.0, self._rng.uniform(0.0, 1.0))))
            await runner.restart(version=version, has_new_id=True)
            await self._write_entry(runner)
            await self._state.remove_entry_of(former_id)

    async def _crash_runners(self) -> None:
        for runner in self._rng.sample(list(self._runners), len(self._runners) // 2):
            async with self._runner_locks[runner.number]:
                former_id = runner.runner_id
                self._crashes += 1
                has_new_id = bool(self._crashes % RESTARTS_PER_KEPT_ID)
                await runner.end(signal.SIGKILL)
                await runner.restart(version=runner.version, has_new_id=has_new_id)
                await self._write_entry(runner)
                if has_new_id:
                    await self._state.remove_entry_of(former_id)

    async def _write_entry(self, runner: RunnerProcess, state: str = "ready") -> None:
        born_ms = self._born_ms(runner) if state == "ready" else None
        await self._state.write_entry(
            runner, runner.endpoint, state=state, born_ms=born_ms
        )

    def _born_ms(self, _runner: RunnerProcess) -> int:
        """Return the time of day at a runner's start."""
        return self._now_ms()

    async def _kill_nodes(self) -> None:
        await asyncio.gather(*(node.kill() for node in self._nodes))
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        await self._start_nodes()

    async def _kill_nodes_twice(self) -> None:
        await self._kill_nodes()
        await asyncio.sleep(self._rng.uniform(0.3, 1.8))
        await self._kill_nodes()

    async def _stop_nodes(self) -> None:
        await asyncio.gather(*(self._stop(node) for node in self._nodes))
        await self._start_nodes()

    async def _stop_nodes_in_turn(self) -> None:
        for node in self._rng.sample(list(self._nodes), len(self._nodes)):
            await self._stop(node)
            await self._start_nodes()

    async def _stop(self, node: NodeProcess) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await node.stop(timeout_s=STOP_TIMEOUT_S)

    async def _start_nodes(self) -> None:
        for node, lock in zip(self._nodes, self._node_locks, strict=True):
            async with lock:
                if not node.is_running:
                    await node.start()

    async def _pause_nodes(self) -> None:
        await self._pause(self._rng.sample(list(self._nodes), len(self._nodes) - 1))

    async def _pause_runners(self) -> None:
        await self._pause(self._rng.sample(list(self._runners), len(self._runners) - 1))

    async def _pause(self, processes: Sequence[NodeProcess | RunnerProcess]) -> None:
        """Pause processes for different times that overlap."""
        await asyncio.gather(*(self._pause_one(process) for process in processes))

    async def _pause_one(self, process: NodeProcess | RunnerProcess) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        process.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 1.8))
        process.send(signal.SIGCONT)
