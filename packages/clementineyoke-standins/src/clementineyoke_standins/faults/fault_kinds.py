"""The faults that the brief names, each brought about from outside the nodes."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_standins.demo.evening import operator_client, whole_change
from clementineyoke_standins.demo.layout import PLATFORM_URL, admin_url

if TYPE_CHECKING:
    from pathlib import Path

    from clementineyoke_standins.demo.fleet_processes import FleetProcesses
    from clementineyoke_wire.bodies import HostBody

KILLED_NODE = 2
PAUSED_NODE = 3
FLAPPING_RUNNER = 1
FLAP_S = 0.3
RACE_S = 0.2


async def put_control(path: str, document: Any) -> None:
    """Set a switch of the stand-in platform."""
    async with aiohttp.ClientSession() as session:
        await session.put(f"{PLATFORM_URL}/control/{path}", json=document)


class PlatformFault:
    """The platform is away, slow, or loses replies; several at once if need be."""

    def __init__(
        self, *, name: str, switches: dict[str, Any], active: dict[str, Any]
    ) -> None:
        self.name = name
        self._switches = switches
        self._active = active
        """Shared by all faults of the platform."""

    async def begin(self) -> None:
        """Set the switches beside those that are set."""
        self._active.update(self._switches)
        await put_control("faults", self._active)

    async def heal(self) -> None:
        """Clear the own switches."""
        for name in self._switches:
            self._active.pop(name, None)
        await put_control("faults", self._active)


class ListLag:
    """The host list shows changes late."""

    name = "list_lag"

    async def begin(self) -> None:
        """Let changes take two seconds."""
        await put_control("lag", {"lag_ms": 2_000})

    async def heal(self) -> None:
        """Let changes take half a second again."""
        await put_control("lag", {"lag_ms": 500})


class RunnerFlap:
    """One engine leaves and comes back again and again."""

    name = "runner_flap"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._host = fleet.runners[FLAPPING_RUNNER]
        self._task: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        """Begin to flap."""
        self._task = asyncio.create_task(self._flap())

    async def heal(self) -> None:
        """Stay live."""
        if self._task is not None:
            self._task.cancel()
        await put_control("hosts", self._host)

    async def _flap(self) -> None:
        while True:
            for state in ("leaving", "live"):
                await put_control("hosts", self._host | {"state": state})
                await asyncio.sleep(FLAP_S)


class NodePause:
    """One node's process stands still and believes nothing has happened."""

    name = "node_pause"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._node = fleet.nodes[PAUSED_NODE]["host"]

    async def begin(self) -> None:
        """Stop the process."""
        self._fleet.signal(self._node, signal.SIGSTOP)

    async def heal(self) -> None:
        """Let it run on."""
        self._fleet.signal(self._node, signal.SIGCONT)


class NodeKill:
    """One node dies and another is started at its address."""

    name = "node_kill"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._fleet = fleet
        self._host = fleet.nodes[KILLED_NODE]

    async def begin(self) -> None:
        """Kill the process."""
        self._fleet.signal(self._host["host"], signal.SIGKILL)
        await self._fleet.wait_ended(self._host["host"])

    async def heal(self) -> None:
        """Start it again."""
        await self._fleet.start_node(self._host)


class NodePartition:
    """Four nodes and the other five do not hear each other."""

    name = "partition"

    def __init__(self, *, fleet: FleetProcesses, file: Path) -> None:
        self._addresses = [host["address"] for host in fleet.nodes[::2]][:4]
        self._file = file

    async def begin(self) -> None:
        """Name one side."""
        self._file.write_text("\n".join(self._addresses), encoding="utf-8")

    async def heal(self) -> None:
        """Name nobody."""
        self._file.unlink(missing_ok=True)


class OperatorRace:
    """Two operators change settings through two nodes, each on what it sees."""

    name = "operator_race"

    def __init__(self, *, fleet: FleetProcesses) -> None:
        self._nodes = [fleet.nodes[0], fleet.nodes[5]]
        self._tasks: list[asyncio.Task[None]] = []
        self.accepted: dict[int, str] = {}
        """Note of each change that an operator was told is accepted."""

    async def begin(self) -> None:
        """Begin to race."""
        self._tasks = [
            asyncio.create_task(self._change(host, number))
            for number, host in enumerate(self._nodes)
        ]

    async def heal(self) -> None:
        """Let the changes under way end, and make no more."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            # Anything but the cancelling is a fault of this tool: it must be seen.
            with suppress(asyncio.CancelledError):
                await task

    async def _change(self, host: HostBody, number: int) -> None:
        count = 0
        while True:
            count += 1
            with suppress(AdminError):
                await self._change_once(host, f"operator-{number}-{count}")
            await asyncio.sleep(RACE_S)

    async def _change_once(self, host: HostBody, note: str) -> None:
        client = operator_client(admin_url(host))
        seen = await client.get("/admin/settings", path="/raced")
        body = whole_change({"/raced": {"queue_ms": 100}}, based_on=seen["version"])
        body["note"] = note
        result = await client.change_settings(body)
        self.accepted[result["version"]] = note
