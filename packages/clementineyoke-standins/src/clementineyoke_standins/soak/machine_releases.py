"""Releases amid clock steps, connection resets, spoilt answers and other faults."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum
from typing import TYPE_CHECKING, Any

from clementineyoke_standins.soak.runner_commands import (
    RESET_CONNECTIONS,
    SPOIL_ANSWERS,
)
from clementineyoke_standins.soak.signal_releases import Act, SignalReleases

if TYPE_CHECKING:
    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.runner_process import RunnerProcess
    from clementineyoke_standins.soak.soak_fleet import SoakFleet

CLOCK_STEPS_S = (-90.0, -2.4, 2.4, 90.0)
SETTINGS = {
    "retry_ratio": (0.1, 0.2),
    "retry_allowance": (20, 50),
    "longest_keep_s": (2, 5),
    "peer_keys": (["soak"], ["soak", "next"]),
}
SERIES = 8
MS_PER_S = 1000


class MachineAct(Enum):
    """What happens to machines and connections amid a release."""

    CLOCKS_STEP = "clocks step"
    CONNECTIONS_RESET = "connections reset"
    ANSWERS_SPOILT = "answers spoilt"
    SETTINGS_CHANGE = "settings change"
    NODE_ADDED = "node added"
    POWER_LOST = "power lost"
    """Nodes and runners are killed in the same moment."""
    BRIEF_PAUSES = "brief pauses"
    """Nodes stand still while runners are killed and start again."""


class MachineReleases(SignalReleases):
    """Play releases with each fault of machines alone, then in threes that overlap."""

    def __init__(
        self, *, fleet: SoakFleet, endpoints: list[Endpoint], **shared: Any
    ) -> None:
        """Create releases; ``endpoints`` are those of the callers, and grow."""
        super().__init__(nodes=fleet.nodes, state=fleet.state, **shared)
        self._fleet = fleet
        self._endpoints = endpoints
        self._skews_s: dict[int, float] = {}
        """Skew of the wall clocks of runners, by number."""
        self._acts |= {
            MachineAct.CLOCKS_STEP: self._step_clocks,
            MachineAct.CONNECTIONS_RESET: self._reset_connections,
            MachineAct.ANSWERS_SPOILT: self._spoil_answers,
            MachineAct.SETTINGS_CHANGE: self._change_settings,
            MachineAct.NODE_ADDED: self._add_node,
            MachineAct.POWER_LOST: self._lose_power,
            MachineAct.BRIEF_PAUSES: self._pause_briefly,
        }

    async def run(self) -> None:
        """Play each fault alone, then series of three with one of machines at least."""
        alone = self._rng.sample(list(MachineAct), len(MachineAct))
        series: list[list[Act | MachineAct]] = [[act] for act in alone]
        for _ in range(SERIES):
            first = self._rng.choice(list(MachineAct))
            others = [act for act in (*Act, *MachineAct) if act is not first]
            series.append([first, *self._rng.sample(others, 2)])
        versions = ["v1"]
        for number, acts in enumerate(series):
            is_rollback = len(versions) > 1 and self._rng.random() < 0.3
            versions.append(versions[-2] if is_rollback else f"release-{number}")
            self.played.append(" and ".join(act.value for act in acts))
            await self._release(versions[-1], acts)

    def _born_ms(self, runner: RunnerProcess) -> int:
        skew_s = self._skews_s.get(runner.number, 0.0)
        return super()._born_ms(runner) + round(skew_s * MS_PER_S)

    async def _step_clocks(self) -> None:
        step_s = self._rng.choice(CLOCK_STEPS_S)
        for node in self._nodes:
            if self._rng.random() < 0.5:
                node.step_clock(node.skew_s + step_s)
        for runner in self._runners:
            if self._rng.random() < 0.5:
                skew_s = self._skews_s.get(runner.number, 0.0)
                self._skews_s[runner.number] = skew_s + step_s

    async def _reset_connections(self) -> None:
        for _ in range(self._rng.randint(1, 3)):
            self._send_to_some(RESET_CONNECTIONS)
            await asyncio.sleep(self._rng.uniform(0.05, 0.6))

    async def _spoil_answers(self) -> None:
        for _ in range(self._rng.randint(1, 3)):
            self._send_to_some(SPOIL_ANSWERS)
            await asyncio.sleep(self._rng.uniform(0.05, 0.6))

    def _send_to_some(self, number: signal.Signals) -> None:
        for runner in self._runners:
            if self._rng.random() < 0.6 and runner.is_listening:
                runner.send(number)

    async def _change_settings(self) -> None:
        for node in self._nodes:
            name = self._rng.choice(sorted(SETTINGS))
            node.settings[name] = self._rng.choice(SETTINGS[name])
            node.write_settings()
            if node.survives(signal.SIGHUP):
                node.send(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def _add_node(self) -> None:
        node = await self._fleet.add_node()
        if node is None:
            return
        self._nodes.append(node)
        self._node_locks.append(asyncio.Lock())
        self._endpoints.append(self._fleet.caller_endpoints[-1])

    async def _lose_power(self) -> None:
        """Kill nodes and runners in one moment; the runners return under new IDs."""
        nodes = self._rng.sample(self._nodes, self._rng.randint(2, len(self._nodes)))
        runners = self._rng.sample(list(self._runners), len(self._runners) // 2)
        runners.sort(key=lambda runner: runner.number)
        locks = [self._runner_locks[runner.number] for runner in runners]
        for lock in locks:
            await lock.acquire()
        try:
            await asyncio.gather(
                *(node.kill() for node in nodes),
                *(runner.end(signal.SIGKILL) for runner in runners),
            )
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            await self._start_nodes()
            for runner in runners:
                former_id = runner.runner_id
                await runner.restart(version=runner.version, has_new_id=True)
                await self._write_entry(runner)
                await self._state.remove_entry_of(former_id)
        finally:
            for lock in locks:
                lock.release()

    async def _pause_briefly(self) -> None:
        """Crash runners, and let the nodes stand still until each listens again.

        That takes too short a time for the nodes to count it as a stall for certain.
        """
        for runner in self._rng.sample(list(self._runners), len(self._runners) // 2):
            async with self._runner_locks[runner.number]:
                former_id = runner.runner_id
                self._send_to_nodes(signal.SIGSTOP)
                await runner.end(signal.SIGKILL)
                await runner.restart(version=runner.version, has_new_id=True)
                self._send_to_nodes(signal.SIGCONT)
                await self._write_entry(runner)
                await self._state.remove_entry_of(former_id)

    def _send_to_nodes(self, number: signal.Signals) -> None:
        for node in self._nodes:
            node.send(number)
