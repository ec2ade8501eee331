"""A node that runs as a separate process, with its settings file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import IO, Any, Self

from clementineyoke_node.platform.names import SETTINGS_FILE_VARIABLE
from clementineyoke_standins.console.skewed_edge import SKEW_FILE_VARIABLE
from clementineyoke_standins.failed_calls import find_failed_calls

NODE_MODULE = "clementineyoke_standins.console.skewed_edge"
BYTES_PER_MB = 1_000_000
STARTED_LINE = b'"node_started"'


class NodeProcess:
    """Start, signal and stop a node process and record unexpected exits."""

    def __init__(
        self,
        *,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        python: str = sys.executable,
        module: str = NODE_MODULE,
    ) -> None:
        """Create a node that runs in an interpreter, which decides on its code."""
        self.name = name
        self._python = python
        self._module = module
        self.settings = settings
        self.skew_s = 0.0
        """Skew of the node's wall clock from its next start, in seconds."""
        self.failures: list[str] = []
        """Descriptions of unexpected exits and of failed shutdowns."""
        self._folder = folder
        self._log: IO[bytes] | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._is_exit_expected = False
        self._is_killed = False
        self._log_offset = 0
        """Size of the log when the process was last started."""
        self._first_offset = 0
        """Size of the log, which earlier soaks may have written to, before all that."""

    async def __aenter__(self) -> Self:
        """Write the settings file and start the process."""
        self._log = self._log_path.open("ab")
        self._first_offset = self._log_path.stat().st_size
        self.write_settings()
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill the process."""
        await self.kill()
        if self._log is not None:
            self._log.close()

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    def resident_mb(self) -> tuple[int | None, float]:
        """Return the id of the running process, if any, and its resident memory."""
        if self._process is None or not self.is_running:
            return None, 0.0
        pid = self._process.pid
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return pid, pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    def cpu_s(self) -> float:
        """Return the processor time of the running process; 0 if there is none."""
        if self._process is None or not self.is_running:
            return 0.0
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().split(")")[1]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def has_started(self) -> bool:
        """Return whether the process has opened its listeners, according to its log."""
        return STARTED_LINE in self._log_path.read_bytes()[self._log_offset :]

    @property
    def _log_path(self) -> Path:
        return self._folder / f"{self.name}.log"

    @property
    def _skew_path(self) -> Path:
        return (self._folder / f"{self.name}.skew").absolute()

    @property
    def _settings_path(self) -> Path:
        return self._folder / f"{self.name}.json"

    def write_settings(self, *, fraction: float = 1.0) -> None:
        """Write the settings file, or only its first part as in an incomplete write."""
        text = json.dumps(self.settings)
        self._settings_path.write_text(text[: int(len(text) * fraction)])

    def step_clock(self, skew_s: float) -> None:
        """Set the skew of the node's wall clock, also of a running one."""
        self.skew_s = skew_s
        # Replaced as a whole: the node may read it at any moment.
        written = self._skew_path.with_suffix(".next")
        written.write_text(str(skew_s))
        written.replace(self._skew_path)

    async def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            SETTINGS_FILE_VARIABLE: str(self._settings_path),
            SKEW_FILE_VARIABLE: str(self._skew_path),
        }
        self.step_clock(self.skew_s)
        self._log_offset = self._log_path.stat().st_size
        self._process = await asyncio.create_subprocess_exec(
            self._python,
            "-m",
            self._module,
            stdout=self._log,
            stderr=self._log,
            env=environment,
        )
        # Only now, as another fault may meanwhile look at the previous process.
        self._is_exit_expected = False
        self._is_killed = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def survives(self, number: signal.Signals) -> bool:
        """Return whether the process handles or ignores a signal by now.

        While its interpreter is loaded, it would end by one.
        """
        if self._process is None or not self.is_running:
            return False
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return False  # it has just ended
        masks = dict(line.split(":", 1) for line in text.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(handled >> (number - 1) & 1)

    def failed_calls(self) -> list[str]:
        """Return the log lines of calls that ended with an unexpected exception."""
        log = self._log_path.read_bytes()[self._first_offset :]
        return find_failed_calls(self.name, log)

    def log_lines(self) -> list[bytes]:
        """Return the lines that the node has written to its log."""
        return self._log_path.read_bytes()[self._first_offset :].splitlines()

    def record_unexpected_exit(self) -> None:
        """Record the exit of the process if nobody requested it."""
        if self._process is None or self.is_running or self._is_exit_expected:
            return
        self.failures.append(
            f"{self.name} exited unexpectedly with {self._process.returncode}"
        )
        self._is_exit_expected = True

    async def kill(self) -> None:
        """Kill the process."""
        self.record_unexpected_exit()
        self._is_exit_expected = True
        self._is_killed = True
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def stop(self, *, timeout_s: float) -> None:
        """Request a shutdown and wait for it; the process must exit with 0.

        Other exits are recorded in ``failures``. A process that does not exit within
        ``timeout_s`` is killed.
        """
        self.record_unexpected_exit()
        self._is_exit_expected = True
        self.send(signal.SIGTERM)
        if self._process is None:
            return
        try:
            code = await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self.failures.append(f"{self.name} did not exit within {timeout_s} s")
            await self.kill()
            return
        if code == -signal.SIGTERM and not self.has_started():
            return  # stopped while it was still loading its modules
        if code == -signal.SIGKILL and self._is_killed:
            return  # killed by another fault during the shutdown
        if code:
            self.failures.append(
                f"{self.name} exited with {code} after a shutdown request"
            )
