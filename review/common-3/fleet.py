"""Starts nodes by the commands of the deploy file, on loopback addresses."""

from __future__ import annotations

import itertools
import json
import os
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
FIRST_PORT = 10_000
PORT_COUNT = 22_000
_offsets = itertools.count(os.getpid() * 311)
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on all loopback addresses."""
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_offsets) % PORT_COUNT
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


def _look_up(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the deploy page tells; sections hold no sections."""

    def fill_section(match: re.Match[str]) -> str:
        return match[2] if _look_up(fields, match[1]) else ""

    def fill_value(match: re.Match[str]) -> str:
        value = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(fill_value, _SECTION.sub(fill_section, template))


class NodeMachine:
    """One machine: the settings file, and the process of the role while it runs."""

    def __init__(self, *, name: str, folder: Path, fields: dict[str, Any]) -> None:
        self.name = name
        self.fields = fields
        self.address: str = fields["ip"]
        self.front_port = int(fields["listen"]["front"].rpartition(":")[2])
        self.directory_port = int(fields["listen"]["directory"].rpartition(":")[2])
        self.ready_port = int(fields["listen"]["ready"].rpartition(":")[2])
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The file with what the process writes."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Start the role's process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        settings = self._folder / f"{self.name}.json"
        settings.write_text(render(template, self.fields))
        words = [render(word, self.fields) for word in role["run"].split()]
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment = {
            **kept,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CLEMENTINEYOKE_NODE_FILE": str(settings),
            **{key: render(text, self.fields) for key, text in role["env"].items()},
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs or before its start."""
        return None if self._process is None else self._process.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()


def make_machines(
    *,
    zones: list[str],
    folder: Path,
    store_addresses: list[str],
    bounds: dict[str, Any] | None = None,
) -> list[NodeMachine]:
    """Return one machine for each entry of ``zones``, all with the same ports."""
    front, ready, control, directory, peer = free_ports(5)
    addresses = [f"127.0.1.{number + 1}" for number in range(len(zones))]
    machines = []
    for number, zone in enumerate(zones):
        ip = addresses[number]
        fields = {
            "node": f"edge-{zone}-{number}",
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": ip,
            "zone": zone,
            "region": "kigali",
            "zones": dict.fromkeys(sorted(set(zones)), "kigali"),
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
                "directory": f"{ip}:{directory}",
            },
            "portRange": [peer, peer],
            "seeds": [f"{address}:{control}" for address in addresses[:3]],
            "firstStart": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "discovery": "platform",
            "entry": "registry",
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
            "bounds": {
                "drainMs": 2000,
                "graceS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 58,
                "capFactor": 2,
                "ttl_max_s": 5,
                **(bounds or {}),
            },
            "platform": {"address": store_addresses[number]},
        }
        machines.append(
            NodeMachine(name=f"edge-{zone}-{number}", folder=folder, fields=fields)
        )
    return machines


class Record:
    """The lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._start_s = time.monotonic()
        self._lines: list[str] = []

    @property
    def origin_s(self) -> float:
        """The monotonic time of the start."""
        return self._start_s

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")
