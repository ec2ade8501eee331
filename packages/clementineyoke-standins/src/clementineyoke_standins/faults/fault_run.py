"""Inject every pair of faults under traffic and audit the results."""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_standins.demo.caller_tally import CallerTally
from clementineyoke_standins.demo.demo_scenario import (
    make_admin_client,
    make_settings_change,
)
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import admin_url
from clementineyoke_standins.demo.runner_stats import (
    count_executions,
    read_runner_stats,
)
from clementineyoke_standins.demo.traffic import Traffic, make_session
from clementineyoke_standins.faults.fault_kinds import (
    KILLED_NODE,
    HostListLag,
    NodeKill,
    NodePartition,
    NodePause,
    OperatorRace,
    PlatformFault,
    RunnerFlap,
    set_platform_control,
)
from clementineyoke_standins.faults.partitioned_peer_socket import PARTITION_FILE
from clementineyoke_standins.faults.settings_watch import SettingsMonitor

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_standins.demo.deployment import Deployment
    from clementineyoke_standins.faults.fault import Fault

NODE_MODULE = "clementineyoke_standins.console.faulty_node"
FAULT_DURATION_S = 2.5
RECOVERY_S = 1.2
CHATS_PER_S = 12.0
POSTS_PER_S = 15.0
NODE_PAUSE_S = 4.0
CALL_TIMEOUT_S = 8.0
MAX_WORK_AFTER_LEAVE_S = 3.0


class FaultAudit(NamedTuple):
    """Results of a run; all counts except the first four must be 0."""

    pairs: int
    chats: int
    posts: int
    accepted_changes: int
    doubled: int
    false_not_run: int
    crossed: int
    cut: int
    late_work: int
    reverted: int
    differences: list[str]
    failed_calls: list[str]
    """Log lines of calls that ended with an exception that nobody expected."""

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was violated."""
        violations = self.doubled + self.false_not_run + self.crossed
        violations += self.cut + self.late_work + self.reverted
        return violations == 0 and not self.differences and not self.failed_calls


class FaultRun:
    """Run a fleet under traffic and inject pairs of faults into it."""

    def __init__(self, *, deployment: Deployment, seed: int, max_pairs: int) -> None:
        self._deployment = deployment
        self._rng = Random(seed)
        self._max_pairs = max_pairs
        self._folder = Path("build") / "faults"
        self._tally = CallerTally()
        self._late_work = 0

    async def run(self) -> FaultAudit:
        """Inject all pairs of faults and return the audit."""
        partition_file = (self._folder / "partition").absolute()
        partition_file.unlink(missing_ok=True)
        os.environ[PARTITION_FILE] = str(partition_file)
        async with FleetProcesses(
            deployment=self._deployment,
            folder=self._folder,
            node_module=NODE_MODULE,
            node_changes={"claim_timeout_ms": 1_000, "platform_timeout_ms": 1_000},
        ) as fleet:
            await fleet.start_nodes()
            change = make_settings_change(
                read_settings_file(self._deployment.settings_file)
            )
            await make_admin_client(admin_url(fleet.nodes[0])).change_settings(change)
            await fleet.wait_ready()
            race = OperatorRace(fleet=fleet)
            faults = _make_faults(fleet, race, partition_file)
            monitor = SettingsMonitor(fleet=fleet)
            pairs = await self._inject_pairs(fleet, faults, monitor)
            return await self._audit(fleet, race, monitor, pairs)

    async def _inject_pairs(
        self, fleet: FleetProcesses, faults: list[Fault], monitor: SettingsMonitor
    ) -> int:
        pairs = list(itertools.combinations(faults, 2))
        self._rng.shuffle(pairs)
        pairs = pairs[: self._max_pairs]
        async with make_session(CALL_TIMEOUT_S) as session:
            traffic = self._make_traffic(fleet, session)
            monitor_task = asyncio.create_task(monitor.run())
            async with traffic:
                for first, second in pairs:
                    await self._inject_pair(first, second)
                await self._remove_runner_during_pause(fleet)
            monitor_task.cancel()
        return len(pairs)

    def _make_traffic(
        self, fleet: FleetProcesses, session: aiohttp.ClientSession
    ) -> Traffic:
        return Traffic(
            deployment=self._deployment,
            nodes=fleet.nodes,
            session=session,
            tally=self._tally,
            rng=self._rng,
            chats_per_s=CHATS_PER_S,
            posts_per_s=POSTS_PER_S,
        )

    async def _inject_pair(self, first: Fault, second: Fault) -> None:
        print(f"{first.name} + {second.name}", flush=True)
        await first.start()
        await asyncio.sleep(self._rng.uniform(0.0, FAULT_DURATION_S / 2))
        await second.start()
        await asyncio.sleep(FAULT_DURATION_S)
        await first.clear()
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await second.clear()
        await asyncio.sleep(RECOVERY_S)

    async def _remove_runner_during_pause(self, fleet: FleetProcesses) -> None:
        """Remove a runner while a node is suspended that callers continue to call."""
        await asyncio.sleep(FAULT_DURATION_S)
        leaving = fleet.runners[0]
        pause = NodePause(fleet=fleet)
        await pause.start()
        await set_platform_control("hosts", leaving | {"state": "leaving"})
        left_s = time.time()
        await asyncio.sleep(NODE_PAUSE_S)
        await pause.clear()
        await asyncio.sleep(RECOVERY_S)
        stats = (await read_runner_stats([leaving]))[leaving["host"]]
        last_work_s = stats["last_start_s"] - left_s
        print(
            f"last call started on the leaving runner: {last_work_s:.2f} s after it was"
            " listed as leaving"
        )
        self._late_work = int(last_work_s > MAX_WORK_AFTER_LEAVE_S)

    async def _audit(
        self,
        fleet: FleetProcesses,
        race: OperatorRace,
        monitor: SettingsMonitor,
        pairs: int,
    ) -> FaultAudit:
        executions = count_executions(await read_runner_stats(fleet.runners))
        tally = self._tally
        killed = fleet.nodes[KILLED_NODE]["address"]
        cuts = sum(
            count
            for address, count in tally.cut_streams_by_node.items()
            if address != killed
        )
        false_not_run = [mark for mark in tally.not_run_marks if executions.get(mark)]
        return FaultAudit(
            pairs=pairs,
            chats=tally.outcomes["chat_whole"],
            posts=tally.outcomes["post_ran"],
            accepted_changes=len(race.accepted),
            doubled=sum(1 for count in executions.values() if count > 1),
            false_not_run=len(false_not_run),
            crossed=tally.mixed_up_responses,
            cut=cuts,
            late_work=self._late_work,
            reverted=monitor.reverts,
            differences=await monitor.find_differences(race.accepted),
            failed_calls=fleet.failed_calls(),
        )

    @property
    def tally(self) -> CallerTally:
        """Counts of the results that callers observed."""
        return self._tally


def _make_faults(
    fleet: FleetProcesses, race: OperatorRace, partition_file: Path
) -> list[Fault]:
    active: dict[str, Any] = {}
    switches: dict[str, dict[str, Any]] = {
        "outage": {"outage": True},
        "slow_platform": {"delay_ms": 400},
        "lost_replies": {"lost_replies": 40},
    }
    return [
        *(
            PlatformFault(name=name, switches=values, active=active)
            for name, values in switches.items()
        ),
        HostListLag(),
        RunnerFlap(fleet=fleet),
        NodePause(fleet=fleet),
        NodeKill(fleet=fleet),
        NodePartition(fleet=fleet, file=partition_file),
        race,
    ]
