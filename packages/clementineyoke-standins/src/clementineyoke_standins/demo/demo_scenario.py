"""Demo scenario: traffic with a leaving runner, a node stop, a kill and an outage."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

from clementineyoke_cli.admin_client import AdminClient
from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_standins.demo.caller_tally import CallerTally
from clementineyoke_standins.demo.fleet_processes import FleetProcesses
from clementineyoke_standins.demo.layout import (
    OPERATOR_KEY,
    PLATFORM_URL,
    admin_url,
)
from clementineyoke_standins.demo.runner_stats import (
    RunnerStats,
    read_runner_stats,
)
from clementineyoke_standins.demo.traffic import Traffic, make_session
from clementineyoke_wire.bodies import SettingsChangeBody

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from clementineyoke_standins.demo.deployment import Deployment

CHATS_PER_S = 40.0
POSTS_PER_S = 20.0
DURATION_S = 24.0
RUNNER_LEAVE_AT_S = 6.0
NODE_STOP_AT_S = 10.0
NODE_KILL_AT_S = 15.0
SETTINGS_CHANGE_AT_S = 18.0
OUTAGE_S = 2.0
POLL_INTERVAL_S = 0.05
MAX_LEAVE_S = 3.0
CALL_TIMEOUT_S = 20.0


class DemoResult(NamedTuple):
    """Data from which the result table is computed."""

    tally: CallerTally
    runner_stats: RunnerStats
    node_status: dict[str, dict[str, Any]]
    stop_exit_code: int
    stopped_address: str
    killed_address: str
    last_start_after_leave_s: float
    """Time from listing the runner as leaving to the start of its last request."""
    settings_in_force_s: float
    platform_calls: dict[str, int]
    duration_s: float


class DemoScenario:
    """Runs the scenario on one deployment and collects the results."""

    def __init__(self, *, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = Random(seed)
        self._tally = CallerTally()
        self._runner_left_s = 0.0
        self._stop_exit_code = -1
        self._settings_in_force_s = -1.0

    async def run(self) -> DemoResult:
        """Start the processes, run the scenario and stop the processes."""
        folder = Path("build") / "demo" / self._deployment.name
        async with FleetProcesses(deployment=self._deployment, folder=folder) as fleet:
            await fleet.start_nodes()
            await self._apply_settings(fleet)
            await fleet.wait_ready()
            started_s = time.monotonic()
            async with make_session(CALL_TIMEOUT_S) as session:
                await self._run_traffic(fleet, session)
            return await self._collect_result(fleet, time.monotonic() - started_s)

    async def _run_traffic(
        self, fleet: FleetProcesses, session: aiohttp.ClientSession
    ) -> None:
        traffic = Traffic(
            deployment=self._deployment,
            nodes=fleet.nodes,
            session=session,
            tally=self._tally,
            rng=self._rng,
            chats_per_s=CHATS_PER_S,
            posts_per_s=POSTS_PER_S,
        )
        async with traffic:
            await asyncio.gather(
                asyncio.sleep(DURATION_S),
                self._leave_runner(fleet, session),
                self._stop_node(fleet),
                self._kill_node(fleet),
                self._change_settings(fleet),
            )

    async def _leave_runner(
        self, fleet: FleetProcesses, session: aiohttp.ClientSession
    ) -> None:
        await asyncio.sleep(RUNNER_LEAVE_AT_S)
        host = fleet.runners[0] | {"state": "leaving"}
        await session.put(f"{PLATFORM_URL}/control/hosts", json=host)
        self._runner_left_s = time.time()

    async def _stop_node(self, fleet: FleetProcesses) -> None:
        await asyncio.sleep(NODE_STOP_AT_S)
        name = fleet.nodes[1]["host"]
        fleet.signal(name, signal.SIGTERM)
        self._stop_exit_code = await fleet.wait_exited(name)

    async def _kill_node(self, fleet: FleetProcesses) -> None:
        await asyncio.sleep(NODE_KILL_AT_S)
        fleet.signal(fleet.nodes[2]["host"], signal.SIGKILL)

    async def _change_settings(self, fleet: FleetProcesses) -> None:
        """Change settings, and start a platform outage as soon as they are accepted."""
        await asyncio.sleep(SETTINGS_CHANGE_AT_S)
        clients = [make_admin_client(admin_url(host)) for host in fleet.nodes]
        alive = clients[:1] + clients[3:]
        current = await alive[0].get("/admin/settings")
        edits: dict[str, dict[str, Any] | None] = {
            "/": {**current["own"], "queue_ms": 900}
        }
        started_s = time.monotonic()
        accepted = await alive[0].change_settings(
            make_settings_change(edits, based_on=current["version"])
        )
        async with _platform_outage():
            await _wait_in_force(alive, accepted["version"])
            self._settings_in_force_s = time.monotonic() - started_s
            await asyncio.sleep(OUTAGE_S)

    async def _apply_settings(self, fleet: FleetProcesses) -> None:
        edits = read_settings_file(self._deployment.settings_file)
        client = make_admin_client(admin_url(fleet.nodes[0]))
        await client.change_settings(make_settings_change(edits, based_on=0))

    async def _collect_result(
        self, fleet: FleetProcesses, seconds: float
    ) -> DemoResult:
        stats = await read_runner_stats(fleet.runners)
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{PLATFORM_URL}/control/calls") as response,
        ):
            calls = await response.json()
        alive = fleet.nodes[:1] + fleet.nodes[3:]
        status = {
            host["host"]: await make_admin_client(admin_url(host)).get("/admin/status")
            for host in alive
        }
        return DemoResult(
            tally=self._tally,
            runner_stats=stats,
            node_status=status,
            stop_exit_code=self._stop_exit_code,
            stopped_address=fleet.nodes[1]["address"],
            killed_address=fleet.nodes[2]["address"],
            last_start_after_leave_s=stats["engine-1"]["last_start_s"]
            - self._runner_left_s,
            settings_in_force_s=self._settings_in_force_s,
            platform_calls=calls,
            duration_s=seconds,
        )


def make_admin_client(url: str) -> AdminClient:
    """Return an admin client with the demo's operator key."""
    return AdminClient(url=url, key=OPERATOR_KEY)


def make_settings_change(
    edits: dict[str, dict[str, Any] | None], *, based_on: int = 0
) -> SettingsChangeBody:
    """Return the request body of a settings change that is not a dry run."""
    return SettingsChangeBody(
        author="demo", note="demo", based_on=based_on, dry_run=False, edits=edits
    )


@asynccontextmanager
async def _platform_outage() -> AsyncIterator[None]:
    url = f"{PLATFORM_URL}/control/faults"
    async with aiohttp.ClientSession() as session:
        await session.put(url, json={"outage": True})
        try:
            yield
        finally:
            await session.put(url, json={})


async def _wait_in_force(clients: list[AdminClient], version: int) -> None:
    versions = [0]
    while min(versions) < version:
        replies = [await client.get("/admin/settings") for client in clients]
        versions = [response["version"] for response in replies]
        await asyncio.sleep(POLL_INTERVAL_S)
