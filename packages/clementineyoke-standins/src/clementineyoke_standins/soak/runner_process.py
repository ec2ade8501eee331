"""A runner that runs as a separate process."""

from __future__ import annotations

import asyncio
import json
import math
import signal
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_standins.soak.audit import RunnerObservation

if TYPE_CHECKING:
    from typing import Self

    from clementineyoke_standins.soak.loopback import Endpoint
    from clementineyoke_standins.soak.runner_commands import RunnerOptions

RUNNER_MODULE = "clementineyoke_standins.console.soak_runner"
EVENT_PAUSE_S = 0.28
"""Pause that makes a stream longer than the nodes' stop deadline, and shorter than its
caller's own."""


class RunnerLifetime(NamedTuple):
    """Time in which a process listened, in monotonic seconds."""

    runner_id: str
    version: str
    start_s: float
    end_s: float = math.inf


class RunnerProcess:
    """Start, signal and replace a runner process, and collect its calls."""

    def __init__(
        self, *, number: int, endpoint: Endpoint, zone: str, version: str, framed: bool
    ) -> None:
        self.number = number
        self.endpoint = endpoint
        self.zone = zone
        self.version = version
        self.runner_id = f"runner-{number}"
        self.observations: list[RunnerObservation] = []
        self.lifetimes: list[RunnerLifetime] = []
        self._framed = framed
        self.is_listening = False
        """Whether the process has started; before, most signals would end it."""
        self._lifetimes = 0
        self._process: asyncio.subprocess.Process | None = None
        self._tasks = BackgroundTasks()

    async def __aenter__(self) -> Self:
        """Start the process."""
        await self._tasks.__aenter__()
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Kill the process."""
        await self.end(signal.SIGKILL)
        await self._tasks.__aexit__(*exc_info)

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        options: RunnerOptions = {
            "runner_id": self.runner_id,
            "version": self.version,
            "port": self.endpoint.port,
            "event_pause_s": EVENT_PAUSE_S,
            "frames_streams": self._framed,
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            RUNNER_MODULE,
            json.dumps(options),
            stdout=asyncio.subprocess.PIPE,
        )
        output = self._process.stdout
        assert output is not None
        if not await output.readline():
            raise OSError(f"{self.runner_id} does not listen on {self.endpoint}")
        self.is_listening = True
        self.lifetimes.append(
            RunnerLifetime(self.runner_id, self.version, time.monotonic())
        )
        self._tasks.spawn(self._collect(output), name="collect_calls")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its end."""
        if self.is_listening:
            self.lifetimes[-1] = self.lifetimes[-1]._replace(end_s=time.monotonic())
        self.is_listening = False
        self.send(number)
        if self._process is not None:
            await self._process.wait()

    async def restart(self, *, version: str, has_new_id: bool) -> None:
        """Start the process again at the same address, after its end."""
        self._lifetimes += 1
        self.version = version
        if has_new_id:
            self.runner_id = f"runner-{self.number}-{self._lifetimes}"
        await self.start()

    async def _collect(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            runner_id, call_id, received_s, was_executed = json.loads(line)
            self.observations.append(
                RunnerObservation(
                    runner_id, call_id, received_s, was_executed, self.zone
                )
            )
