"""Starts nodes as the deploy file does, on loopback addresses, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
SETTINGS_VARIABLE = "CLEMENTINEYOKE_NODE_FILE"
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
PORTS = ("front", "ready", "control", "directory", "peer", "store", "runner")


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return a port for each use that is free on all hosts, over TCP and UDP."""
    ports: dict[str, int] = {}
    while len(ports) < len(PORTS):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = int(probe.getsockname()[1])
        if port not in ports.values() and all(_is_free(h, port) for h in hosts):
            ports[PORTS[len(ports)]] = port
    return ports


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def _look_up(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
    return value


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a template as the platform does."""

    def fill(match: re.Match[str]) -> str:
        value = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = _SECTION.sub(lambda m: m[2] if _look_up(fields, m[1]) else "", text)
    return _VALUE.sub(fill, text)


class Node:
    """One node process with its settings file."""

    def __init__(self, name: str, fields: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.fields = fields
        self.host: str = fields["ip"]
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        if self._process is not None:
            self._log.close()
        settings = self._folder / f"{self.name}.conf"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render(template, self.fields))
        kept = {k: os.environ[k] for k in KEPT_VARIABLES if k in os.environ}
        self._log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            *render(role["run"], self.fields).split(),
            cwd=ROOT,
            env={
                **kept,
                **role.get("env", {}),
                "PYTHONPATH": str(ROOT / "target/deps"),
                SETTINGS_VARIABLE: str(settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """Process id."""
        return 0 if self._process is None else self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it has ended."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait(5.0)
        if self._process is not None:
            self._log.close()

    def log(self) -> str:
        """Return what the process has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Fleet:
    """The nodes of a small deployment, with one store address."""

    def __init__(self, *, net: int, zones: list[str]) -> None:
        self.store_host = f"127.{net}.9.1"
        self.runner_hosts = [f"127.{net}.8.{n + 1}" for n in range(8)]
        hosts = [f"127.{net}.1.{n + 1}" for n in range(len(zones))]
        self.ports = free_ports([*hosts, self.store_host, *self.runner_hosts])
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = [
            Node(f"edge-{zone}-{n}", self._fields(n, hosts, zones), self.folder)
            for n, zone in enumerate(zones)
        ]

    def _fields(self, index: int, hosts: list[str], zones: list[str]) -> dict[str, Any]:
        ip, ports = hosts[index], self.ports
        return {
            "node": f"edge-{zones[index]}-{index}",
            "ip": ip,
            "zone": zones[index],
            "region": "prairies",
            "listen": {
                name: f"{ip}:{ports[name]}"
                for name in ("front", "ready", "control", "directory")
            },
            "portRange": [ports["peer"], ports["peer"] + 15],
            "seeds": [f"{host}:{ports['control']}" for host in hosts[:3]],
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
            ],
            "limits": {"cpuShare": 0.537, "cores": 2, "linkMbps": 1000.0},
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetSlack": 58,
                "budgetWindowS": 10,
                "capFactor": 2,
                "configApplyMs": 2000,
                "drainMs": 2000,
                "graceS": 8,
                "ttl_max_s": 5,
            },
            "platform": {"address": f"{self.store_host}:{ports['store']}"},
        }

    async def start(self) -> None:
        """Start all nodes."""
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all nodes say that they are ready; raises ``TimeoutError``."""
        async with asyncio.timeout(timeout_s):
            for node in self.nodes:
                while not await self.is_ready(node):
                    await asyncio.sleep(0.1)

    async def is_ready(self, node: Node) -> bool:
        """Return whether a node answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    node.host, self.ports["ready"]
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def end(self) -> None:
        """End all nodes and remove the temporary folder."""
        await asyncio.gather(*(node.end() for node in self.nodes))
        shutil.rmtree(self.folder, ignore_errors=True)
