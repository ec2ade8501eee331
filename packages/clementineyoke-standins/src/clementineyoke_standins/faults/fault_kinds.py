"""Faults of a fault run, each injected from outside the nodes."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_standins.demo.demo_scenario import (
    make_admin_client,
    make_settings_change,
)
from clementineyoke_standins.demo.layout import PLATFORM_URL, admin_url

if TYPE_CHECKING:
    from pathlib import Path

    from clementineyoke_standins.demo.fleet_processes import FleetProcesses
    from clementineyoke_wire.bodies import HostBody

KILLED_NODE = 2
PAUSED_NODE = 3
FLAPPING_RUNNER = 1
FLAP_INTERVAL_S = 0.3
CHANGE_INTERVAL_S = 0.2


async def set_platform_control(path: str, document: Any) -> None:
    """Set a control of the fake platform."""
    async with aiohttp.ClientSession() as session:
        await session.put(f"{PLATFORM_URL}/control/{path}", json=document)


class PlatformFault:
    """An outage, delay or loss of replies of the platform; several can be combined."""

    def __init__(
        self, *, name: str, switches: dict[str, Any], active: dict[str, Any]
    ) -> None:
        self.name = name
        self._switches = switches
        self._active = active
        """Active switches, shared by all faults of the platform."""

    async def start(self) -> None:
        """Set this fault's switches in addition to the active ones."""
        self._active.update(self._switches)
        await set_platform_control("faults", self._active)

    async def clear(self) -> None:
        """Clear this fault's switches."""
        for name in self._switches:
            self._active.pop(name, None)
        await set_platform_control("faults", self._active)


class HostListLag:
    """The host list shows changes with a longer delay."""

    name = "list_lag"

    async def start(self) -> None:
        """Delay changes by 2 s."""
        await set_platform_control("lag", {"lag_ms": 2_000})

    async def clear(self) -> None:
        """Restore the usual delay of 0.5 s."""
        await set_platform_control("lag", {"lag_ms": 500})


class RunnerFlap:
    """One runner leaves the host list and returns repeatedly."""

    name = "runner_flap"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._host = fleet.runners[FLAPPING_RUNNER]
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to alternate between leaving and live."""
        self._task = asyncio.create_task(self._flap())

    async def clear(self) -> None:
        """List the runner as live again."""
        if self._task is not None:
            self._task.cancel()
        await set_platform_control("hosts", self._host)

    async def _flap(self) -> None:
        while True:
            for state in ("leaving", "live"):
                await set_platform_control("hosts", self._host | {"state": state})
                await asyncio.sleep(FLAP_INTERVAL_S)


class NodePause:
    """The process of one node is suspended and cannot notice it."""

    name = "node_pause"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._node = fleet.nodes[PAUSED_NODE]["host"]

    async def start(self) -> None:
        """Suspend the process."""
        self._fleet.signal(self._node, signal.SIGSTOP)

    async def clear(self) -> None:
        """Resume the process."""
        self._fleet.signal(self._node, signal.SIGCONT)


class NodeKill:
    """One node is killed and another is started at its address."""

    name = "node_kill"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._host = fleet.nodes[KILLED_NODE]

    async def start(self) -> None:
        """Kill the process and wait for its exit."""
        self._fleet.signal(self._host["host"], signal.SIGKILL)
        await self._fleet.wait_exited(self._host["host"])

    async def clear(self) -> None:
        """Start a node at the same address."""
        await self._fleet.start_node(self._host)


class NodePartition:
    """Four nodes and the other five cannot exchange messages."""

    name = "partition"

    def __init__(self, *, fleet: FleetProcesses, file: Path) -> None:
        self._addresses = [host["address"] for host in fleet.nodes[::2]][:4]
        self._file = file

    async def start(self) -> None:
        """Write the addresses of one side to the partition file."""
        self._file.write_text("\n".join(self._addresses), encoding="utf-8")

    async def clear(self) -> None:
        """Remove the partition file."""
        self._file.unlink(missing_ok=True)


class OperatorRace:
    """Two operators change settings through two nodes, each based on what it reads."""

    name = "operator_race"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._nodes = [fleet.nodes[0], fleet.nodes[5]]
        self._tasks: list[asyncio.Task[None]] = []
        self.accepted: dict[int, str] = {}
        """Note of each change reported to an operator as accepted, by version."""

    async def start(self) -> None:
        """Start to change settings."""
        self._tasks = [
            asyncio.create_task(self._change(host, number))
            for number, host in enumerate(self._nodes)
        ]

    async def clear(self) -> None:
        """Cancel the changes and wait until both operators have stopped."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            # Any other exception is an error in this tool and must be raised.
            with suppress(asyncio.CancelledError):
                await task

    async def _change(self, host: HostBody, number: int) -> None:
        count = 0
        while True:
            count += 1
            with suppress(AdminError):
                await self._change_once(host, f"operator-{number}-{count}")
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def _change_once(self, host: HostBody, note: str) -> None:
        client = make_admin_client(admin_url(host))
        seen = await client.get("/admin/settings", path="/raced")
        body = make_settings_change(
            {"/raced": {"queue_ms": 100}}, based_on=seen["version"]
        )
        body["note"] = note
        result = await client.change_settings(body)
        self.accepted[result["version"]] = note
