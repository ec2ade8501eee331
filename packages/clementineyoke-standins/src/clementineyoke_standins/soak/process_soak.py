"""Runs one seed whose runners are processes, as its nodes, and checks the answers."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Any

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_standins.soak.audit import Evidence, audit
from clementineyoke_standins.soak.caller import Caller
from clementineyoke_standins.soak.loopback import Endpoint, free_ports
from clementineyoke_standins.soak.machine_releases import MachineReleases
from clementineyoke_standins.soak.power_losses import PowerLosses
from clementineyoke_standins.soak.runner_process import RunnerProcess
from clementineyoke_standins.soak.signal_releases import (
    MS_PER_S,
    STOP_TIMEOUT_S,
    SignalReleases,
)
from clementineyoke_standins.soak.soak_fleet import LOCAL, SoakFleet, zone_name
from clementineyoke_standins.soak.soak_run import (
    CALLERS,
    NODES,
    PATIENT_READERS_ALONE,
    PATIENT_RETRY_DELAY_S,
    PATIENT_TRIES,
    RUNNERS_ALONE,
    STATUS_FAILED,
    STATUS_OK,
    SoakReport,
)
from clementineyoke_standins.soak.stream_counts import count_streams
from clementineyoke_standins.soak.stream_reader import StreamReader

if TYPE_CHECKING:
    from pathlib import Path

STOP_DEADLINE_S = 1
SETTLING_S = 4.0
SPARE_NODES = 1
POWER_LOSS_TRIES = (4, 20)
"""Tries of readers that soon begin new streams, and that outlast two losses."""


class ProcessFaults(Enum):
    """What happens to processes amid releases."""

    SIGNALS = "signals"
    MACHINES = "machines"
    POWER_LOSSES = "power losses"


async def run_process_soak(
    seed: int, *, folder: Path, node_python: str, faults: ProcessFaults, length_s: float
) -> SoakReport:
    """Play the releases of a seed; answers end with their connections in odd seeds.

    Losses of power begin for ``length_s``; the other faults are of a fixed number.
    """
    has_power_losses = faults is ProcessFaults.POWER_LOSSES
    fleet = SoakFleet(
        nodes=NODES,
        runners=0,
        folder=folder,
        node_python=node_python,
        spare_nodes=SPARE_NODES,
    )
    for node in fleet.nodes:
        node.settings["stop_deadline_s"] = STOP_DEADLINE_S
    runners = [
        RunnerProcess(
            number=number,
            endpoint=Endpoint(LOCAL, port),
            zone=zone_name(number),
            version="v1",
            framed=seed % 2 == 0,
        )
        for number, port in enumerate(free_ports(RUNNERS_ALONE))
    ]
    endpoints = fleet.caller_endpoints
    shared: dict[str, Any] = {
        "endpoints": endpoints,
        "state": fleet.state,
    }
    callers = [
        Caller(name=f"s{seed}c{n}", rng=Random(f"caller {n} of {seed}"), **shared)
        for n in range(CALLERS)
    ]
    readers = [
        StreamReader(
            name=f"s{seed}p{number}",
            rng=Random(f"reader {number} of {seed}"),
            max_tries=POWER_LOSS_TRIES[number % 2]
            if has_power_losses
            else PATIENT_TRIES,
            retry_delay_s=PATIENT_RETRY_DELAY_S,
            **shared,
        )
        for number in range(PATIENT_READERS_ALONE)
    ]
    played: dict[str, Any] = {
        "runners": runners,
        "rng": Random(f"signals of {seed}"),
        "now_ms": lambda: round(time.time() * MS_PER_S),
    }
    releases: SignalReleases
    if has_power_losses:
        releases = PowerLosses(fleet=fleet, length_s=length_s, **played)
    elif faults is ProcessFaults.MACHINES:
        releases = MachineReleases(fleet=fleet, endpoints=endpoints, **played)
    else:
        releases = SignalReleases(nodes=fleet.nodes, state=fleet.state, **played)
    violations: list[str] = []
    async with AsyncExitStack() as stack:
        for runner in runners:
            await stack.enter_async_context(runner)
        await stack.enter_async_context(fleet)
        await releases.write_entries()
        await asyncio.sleep(SETTLING_S)
        async with BackgroundTasks() as tasks:
            for caller in callers:
                tasks.spawn(caller.run(), name="soak_caller")
            for reader in readers:
                tasks.spawn(reader.run(), name="soak_reader")
            await releases.run()
            await asyncio.sleep(SETTLING_S)
        for node in fleet.nodes:
            await node.stop(timeout_s=STOP_TIMEOUT_S)
            violations += node.failures
            violations += node.failed_calls()
    calls = [record for caller in callers for record in caller.records]
    tries = [attempt for reader in readers for attempt in reader.tries]
    collected: dict[str, Any] = dict.fromkeys(Evidence._fields, [])
    collected["calls"], collected["stream_tries"] = calls, tries
    collected["observations"] = [o for runner in runners for o in runner.observations]
    violations += audit(Evidence(**collected), is_timed=False)
    resumptions = [attempt for attempt in tries if attempt.is_resumption]
    return SoakReport(
        seed=seed,
        calls=len(calls),
        served=sum(record.status == STATUS_OK for record in calls),
        faults=releases.played,
        recovery_s=0.0,
        resumptions=len(resumptions),
        resumed=sum(bool(attempt.events) for attempt in resumptions),
        failed_resumptions=sum(t.status == STATUS_FAILED for t in resumptions),
        violations=violations,
        streams=count_streams(
            tries,
            lifetimes=[life for runner in runners for life in runner.lifetimes],
            left_s=fleet.state.runner_left_s,
        ),
    )
