"""Runner process of the soak, which tells each call on its standard output."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import TypedDict

from clementineyoke_standins.edge.edge_runner import (
    EdgeRunner,
    ReceivedCall,
    ScriptedResponse,
)

DRAINING_S = 0.6
"""Time from SIGTERM until the process ends, whatever it still sends."""


class RunnerOptions(TypedDict):
    """What a runner process is started with, as JSON in its argument."""

    runner_id: str
    version: str
    port: int
    event_pause_s: float
    frames_streams: bool


class CallLog(list[ReceivedCall]):
    """Calls that are printed as they are received."""

    def append(self, call: ReceivedCall) -> None:
        """Print a call."""
        super().append(call)
        record = [call.runner_id, call.call_id, call.received_s, call.was_executed]
        print(json.dumps(record), flush=True)


async def serve(options: RunnerOptions) -> None:
    """Serve calls until SIGTERM, then drain; calls that last longer are cut."""
    is_ending = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, is_ending.set)
    runner = EdgeRunner(runner_id=options["runner_id"], version=options["version"])
    runner.calls = CallLog()
    runner.port = options["port"]
    runner.event_pause_s = options["event_pause_s"]
    runner.frames_streams = options["frames_streams"]
    runner.tells_version = True
    runner.responses_by_prefix = {"/streaming/": ScriptedResponse.STREAM}
    async with runner:
        print(json.dumps(None), flush=True)
        await is_ending.wait()
        runner.is_draining = True
        await asyncio.sleep(DRAINING_S)


def main() -> None:
    """Serve as the options in the first argument say."""
    asyncio.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
