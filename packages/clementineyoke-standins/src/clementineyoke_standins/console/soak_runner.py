"""Runner process of the soak, which tells each call on its standard output."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from random import Random

from clementineyoke_standins.edge.edge_runner import (
    EdgeRunner,
    ReceivedCall,
    ScriptedResponse,
)
from clementineyoke_standins.edge.source_filter import LinkCut
from clementineyoke_standins.soak.loopback import node_address
from clementineyoke_standins.soak.runner_commands import (
    RESET_CONNECTIONS,
    SPOIL_ANSWERS,
    RunnerOptions,
)
from clementineyoke_standins.soak.spoilt_answers import SpoiltAnswers

DRAINING_S = 0.6
"""Time from SIGTERM until the process ends, whatever it still sends."""
MAX_NODES = 5


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
    rng = Random(options["runner_id"])
    spoilt = SpoiltAnswers(runner=runner, rng=rng)
    loop.add_signal_handler(SPOIL_ANSWERS, spoilt.begin)
    loop.add_signal_handler(RESET_CONNECTIONS, reset_connections, runner, rng)
    async with runner:
        print(json.dumps(None), flush=True)
        await is_ending.wait()
        runner.is_draining = True
        await asyncio.sleep(DRAINING_S)


def reset_connections(runner: EdgeRunner, rng: Random) -> None:
    """Reset the connections from a random number of the nodes."""
    sources = [node_address(number) for number in range(MAX_NODES)]
    runner.cut_links(rng.sample(sources, rng.randint(1, MAX_NODES)), LinkCut.RESET)
    runner.heal_links()


def main() -> None:
    """Serve as the options in the first argument say."""
    asyncio.run(serve(json.loads(sys.argv[1])))


if __name__ == "__main__":
    main()
