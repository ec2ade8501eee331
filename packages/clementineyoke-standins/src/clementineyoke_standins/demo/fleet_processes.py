"""Starts and stops the processes of a fleet on this machine.

The rule that a process starts no other applies to the product, not to this tool.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any, Self

import aiohttp

from clementineyoke_standins.demo.layout import (
    PLATFORM_URL,
    admin_url,
    entry_hosts,
    node_settings,
    runner_hosts,
)
from clementineyoke_standins.failed_calls import find_failed_calls

if TYPE_CHECKING:
    import signal

    from clementineyoke_standins.demo.deployment import Deployment
    from clementineyoke_wire.bodies import HostBody

NODE_MODULE = "clementineyoke_node.console.main"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.1
STATUS_OK = 200


class FleetProcesses:
    """Owns the processes of the fakes and the nodes; kills them on exit."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        folder: Path,
        node_changes: dict[str, Any] | None = None,
        node_module: str = NODE_MODULE,
    ) -> None:
        self.deployment = deployment
        self.nodes = entry_hosts(deployment)
        self.runners = runner_hosts(deployment)
        self._folder = folder
        self._node_changes = node_changes or {}
        self._node_module = node_module
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._files = ExitStack()

    async def __aenter__(self) -> Self:
        """Start the fakes and register all hosts."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for old_log in self._folder.glob("*.log"):
            old_log.unlink()
        standin = "clementineyoke_standins.console.standin"
        name = self.deployment.name
        await self._start("platform", standin, "platform")
        await self._start("runners", standin, "runners", f"--deployment={name}")
        await self.wait_until_ok(f"{PLATFORM_URL}/control/calls")
        async with aiohttp.ClientSession() as session:
            url = f"{PLATFORM_URL}/control/hosts"
            hosts = self.nodes + self.runners
            await asyncio.gather(*(session.put(url, json=host) for host in hosts))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill all processes that are still running."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes.values():
            await process.wait()
        self._files.close()

    async def start_node(self, host: HostBody) -> None:
        """Write the settings file of a node and start it."""
        path = self._folder / f"{host['host']}.json"
        settings = node_settings(host, **self._node_changes)
        path.write_text(json.dumps(settings, indent=2))
        await self._start(host["host"], self._node_module, f"--config={path}")

    async def start_nodes(self) -> None:
        """Start all nodes and wait until their admin addresses respond."""
        for host in self.nodes:
            await self.start_node(host)
        for host in self.nodes:
            await self.wait_until_ok(f"{admin_url(host)}/health")

    async def wait_ready(self) -> None:
        """Wait until every node is ready for callers."""
        for host in self.nodes:
            await self.wait_until_ok(f"{admin_url(host)}/ready")

    async def wait_until_ok(self, url: str) -> None:
        """Wait until a URL responds with status 200.

        Raises ``TimeoutError`` after ``START_TIMEOUT_S``.
        """
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while not await _is_ok(session, url):
                await asyncio.sleep(POLL_INTERVAL_S)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this object started."""
        self._processes[name].send_signal(number)

    def cpu_s(self, name: str) -> float:
        """Return the CPU time that a process has used, from /proc."""
        stat = Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")

    def peak_memory_bytes(self, name: str) -> int:
        """Return the peak resident memory of a process, from /proc."""
        status = Path(f"/proc/{self._processes[name].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def failed_calls(self) -> list[str]:
        """Return the nodes' log lines of calls that ended unexpectedly."""
        return [
            line
            for host in self.nodes
            for line in find_failed_calls(
                host["host"], (self._folder / f"{host['host']}.log").read_bytes()
            )
        ]

    async def wait_exited(self, name: str) -> int:
        """Wait for a process to exit and return its exit code.

        Raises ``TimeoutError`` after ``STOP_TIMEOUT_S``.
        """
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes[name].wait()

    async def _start(self, name: str, module: str, *args: str) -> None:
        log: IO[bytes] = self._files.enter_context(
            (self._folder / f"{name}.log").open("ab")
        )
        self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *args, stdout=log, stderr=log
        )


async def _is_ok(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == STATUS_OK
    except aiohttp.ClientError:
        return False
