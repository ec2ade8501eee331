"""One node as a process of its own, with its settings file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import IO, TYPE_CHECKING, Any, Self

from clementineyoke_node.platform.names import SETTINGS_FILE_VARIABLE
from clementineyoke_standins.console.skewed_edge import SKEW_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

NODE_MODULE = "clementineyoke_standins.console.skewed_edge"
STARTED_LINE = b'"node_started"'


class NodeProcess:
    """Own the process; knows which of its ends were ordered."""

    def __init__(self, *, name: str, folder: Path, settings: dict[str, Any]) -> None:
        self.name = name
        self.settings = settings
        self.skew_s = 0
        """How far the node's time of day is off at its next start."""
        self.own_ends: list[str] = []
        """Ends that nobody ordered, and stops that did not end in order."""
        self._folder = folder
        self._log: IO[bytes] | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._may_end = False
        self._is_killed = False
        self._log_began = 0

    async def __aenter__(self) -> Self:
        """Write the settings and start."""
        self._log = self._log_path.open("ab")
        self.write_settings()
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the process."""
        await self.kill()
        if self._log is not None:
            self._log.close()

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.returncode is None

    def _has_served(self) -> bool:
        """Whether the process has got so far as to open its doors."""
        return STARTED_LINE in self._log_path.read_bytes()[self._log_began :]

    @property
    def _log_path(self) -> Path:
        return self._folder / f"{self.name}.log"

    @property
    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.json"

    def write_settings(self, *, share: float = 1.0) -> None:
        """Write the settings file, or only its beginning, as a writer in haste does."""
        text = json.dumps(self.settings)
        self._settings_path.write_text(text[: int(len(text) * share)])

    async def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            SETTINGS_FILE_VARIABLE: str(self._settings_path),
            SKEW_VARIABLE: str(self.skew_s),
        }
        self._may_end = False
        self._is_killed = False
        self._log_began = self._log_path.stat().st_size
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            NODE_MODULE,
            stdout=self._log,
            stderr=self._log,
            env=environment,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def check_alive(self) -> None:
        """Note an end that nobody ordered."""
        if self._process is None or self.is_running or self._may_end:
            return
        self.own_ends.append(f"{self.name} ended by itself: {self._process.returncode}")
        self._may_end = True

    async def kill(self) -> None:
        """Kill the process."""
        self.check_alive()
        self._may_end = True
        self._is_killed = True
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def stop(self, *, limit_s: float) -> None:
        """Tell the process to stop, and wait until it has; it must end with 0."""
        self.check_alive()
        self._may_end = True
        self.send(signal.SIGTERM)
        if self._process is None:
            return
        try:
            code = await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            self.own_ends.append(f"{self.name} did not end within {limit_s} s")
            await self.kill()
            return
        if code == -signal.SIGTERM and not self._has_served():
            return  # told to stop while it was still loading its modules
        if code == -signal.SIGKILL and self._is_killed:
            return  # another fault killed it while it stopped
        if code:
            self.own_ends.append(f"{self.name} was told to stop and ended with {code}")
