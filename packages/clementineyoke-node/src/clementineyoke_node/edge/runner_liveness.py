"""Tells the end of an answer from that of its runner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.runner_connections import Address
from clementineyoke_node.platform.runner_codec import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.runner_connections import RunnerConnections
    from clementineyoke_node.edge.runner_response import OpenResponse

MS_PER_S = 1000.0
PROBE_DELAY_MS = 20.0
"""Delay from the end of a connection to the check whether its runner has crashed: its
other connections end at the same moment, and a process that ends may close its
listening socket last."""
MIN_RESTART_MS = 100.0
"""Shortest time in which another process takes over the address of a runner, unless it
waited for it."""


class RunnerLiveness:
    """Tell whether a runner has ended with an answer that has no length.

    An answer with neither a length nor chunks ends with its connection. If its runner
    crashes and the connection is closed in order, half of the answer looks complete. A
    draining runner is no exception: it may crash as well.
    """

    def __init__(
        self,
        *,
        connections: RunnerConnections,
        is_listening: Callable[[Runner], Awaitable[bool]],
    ) -> None:
        """Create a check; ``is_listening`` opens a connection to the runner."""
        self._connections = connections
        self._is_listening = is_listening
        self._stalled_s = float("-inf")

    def record_stall(self) -> None:
        """Record that the event loop has stood still until now."""
        self._stalled_s = asyncio.get_running_loop().time()

    async def check_end(
        self, runner: Runner, response: OpenResponse, *, step: str
    ) -> None:
        """Raise ``AttemptError`` if an answer may have ended because its runner did."""
        if response.head.body_end is not BodyEnd.CONNECTION:
            return
        loop = asyncio.get_running_loop()
        protocol = response.protocol
        ended_s = None if protocol is None else protocol.ended_s
        if ended_s is None:
            ended_s = loop.time()
        await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
        late_ms = (loop.time() - ended_s) * MS_PER_S - PROBE_DELAY_MS
        is_late = False
        # An older connection that is still open proves nothing by itself, as its end
        # may have been lost on the way.
        if not await self._is_listening(runner):
            reason = "the runner ended with an answer that has no length"
        elif self._connections.has_open(Address.of(runner), before_s=ended_s):
            return
        elif self._was_cut(runner, ended_s):
            reason = "other connections ended with an answer that has no length"
        elif late_ms > MIN_RESTART_MS or self._was_stalled(ended_s):
            # The process that listens now need not be the one that answered.
            reason = "the end of an answer that has no length was noticed late"
            is_late = True
        else:
            return
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step=step,
            peer=runner.runner_id,
            reason=reason,
            is_connection_lost=True,
            is_runner_fault=not is_late,
        )

    def _was_cut(self, runner: Runner, ended_s: float) -> bool:
        since_s = ended_s - PROBE_DELAY_MS / MS_PER_S
        return self._connections.was_cut(Address.of(runner), since_s=since_s)

    def _was_stalled(self, ended_s: float) -> bool:
        return self._stalled_s >= ended_s - MIN_RESTART_MS / MS_PER_S
