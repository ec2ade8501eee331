"""Play every pair of faults under traffic, and audit what came of it."""

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
from clementineyoke_standins.demo.evening import operator_client, whole_change
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import admin_url
from clementineyoke_standins.demo.runner_stats import (
    count_executions,
    read_runner_stats,
)
from clementineyoke_standins.demo.traffic import Traffic, make_session
from clementineyoke_standins.faults.fault_kinds import (
    KILLED_NODE,
    ListLag,
    NodeKill,
    NodePartition,
    NodePause,
    OperatorRace,
    PlatformFault,
    RunnerFlap,
    put_control,
)
from clementineyoke_standins.faults.partitioned_peer_socket import PARTITION_FILE
from clementineyoke_standins.faults.settings_watch import SettingsWatch

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_standins.demo.deployment import Deployment
    from clementineyoke_standins.faults.fault import Fault

NODE_MODULE = "clementineyoke_standins.console.faulty_node"
LASTS_S = 2.5
REST_S = 1.2
CHATS_PER_S = 12.0
POSTS_PER_S = 15.0
LEAVE_S = 4.0
CALL_TIMEOUT_S = 8.0
LEAVE_BOUND_S = 3.0


class FaultAudit(NamedTuple):
    """What the run found; the counts but the first four must be 0."""

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

    @property
    def is_clean(self) -> bool:
        """Whether every promise held."""
        broken = self.doubled + self.false_not_run + self.crossed
        broken += self.cut + self.late_work + self.reverted
        return broken == 0 and not self.differences


class FaultRun:
    """Own one run: the fleet, its traffic and the plan of faults."""

    def __init__(self, *, deployment: Deployment, seed: int, most_pairs: int) -> None:
        self._deployment = deployment
        self._rng = Random(seed)
        self._most_pairs = most_pairs
        self._folder = Path("build") / "faults"
        self._tally = CallerTally()
        self._late_work = 0

    async def run(self) -> FaultAudit:
        """Play all pairs and return the audit."""
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
            change = whole_change(read_settings_file(self._deployment.settings_file))
            await operator_client(admin_url(fleet.nodes[0])).change_settings(change)
            await fleet.wait_ready()
            race = OperatorRace(fleet=fleet)
            faults = _all_faults(fleet, race, partition_file)
            watch = SettingsWatch(fleet=fleet)
            pairs = await self._play(fleet, faults, watch)
            return await self._audit(fleet, race, watch, pairs)

    async def _play(
        self, fleet: FleetProcesses, faults: list[Fault], watch: SettingsWatch
    ) -> int:
        pairs = list(itertools.combinations(faults, 2))
        self._rng.shuffle(pairs)
        pairs = pairs[: self._most_pairs]
        async with make_session(CALL_TIMEOUT_S) as session:
            traffic = self._make_traffic(fleet, session)
            looking = asyncio.create_task(watch.run())
            async with traffic:
                for first, second in pairs:
                    await self._play_pair(first, second)
                await self._leave_runner(fleet)
            looking.cancel()
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

    async def _play_pair(self, first: Fault, second: Fault) -> None:
        print(f"{first.name} + {second.name}", flush=True)
        await first.begin()
        await asyncio.sleep(self._rng.uniform(0.0, LASTS_S / 2))
        await second.begin()
        await asyncio.sleep(LASTS_S)
        await first.heal()
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        await second.heal()
        await asyncio.sleep(REST_S)

    async def _leave_runner(self, fleet: FleetProcesses) -> None:
        """Let a runner leave while a node is frozen; callers go on asking that node."""
        await asyncio.sleep(LASTS_S)
        leaving = fleet.runners[0]
        pause = NodePause(fleet=fleet)
        await pause.begin()
        await put_control("hosts", leaving | {"state": "leaving"})
        left_s = time.time()
        await asyncio.sleep(LEAVE_S)
        await pause.heal()
        await asyncio.sleep(REST_S)
        stats = (await read_runner_stats([leaving]))[leaving["host"]]
        last_s = stats["last_start_s"] - left_s
        print(f"last work on the leaving runner: {last_s:.2f} s after it was listed")
        self._late_work = int(last_s > LEAVE_BOUND_S)

    async def _audit(
        self,
        fleet: FleetProcesses,
        race: OperatorRace,
        watch: SettingsWatch,
        pairs: int,
    ) -> FaultAudit:
        executions = count_executions(await read_runner_stats(fleet.runners))
        tally = self._tally
        killed = fleet.nodes[KILLED_NODE]["address"]
        cuts = sum(n for address, n in tally.cut_by_node.items() if address != killed)
        false_not_run = [m for m in tally.not_run_marks if executions.get(m)]
        return FaultAudit(
            pairs=pairs,
            chats=tally.outcomes["chat_whole"],
            posts=tally.outcomes["post_ran"],
            accepted_changes=len(race.accepted),
            doubled=sum(1 for count in executions.values() if count > 1),
            false_not_run=len(false_not_run),
            crossed=tally.crossed,
            cut=cuts,
            late_work=self._late_work,
            reverted=watch.reverts,
            differences=await watch.differences(race.accepted),
        )

    @property
    def tally(self) -> CallerTally:
        """What the callers saw."""
        return self._tally


def _all_faults(
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
            PlatformFault(name=name, switches=set_to, active=active)
            for name, set_to in switches.items()
        ),
        ListLag(),
        RunnerFlap(fleet=fleet),
        NodePause(fleet=fleet),
        NodeKill(fleet=fleet),
        NodePartition(fleet=fleet, file=partition_file),
        race,
    ]
