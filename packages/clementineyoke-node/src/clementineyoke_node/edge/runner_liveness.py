"""Checks that a runner lives on after an answer that ended with its connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.platform.runner_codec import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.edge.open_connections import OpenConnections

MS_PER_S = 1000.0
PROBE_DELAY_MS = 20.0
"""Delay from the end of a connection to the check whether its runner has crashed: its
other connections end at the same moment, and a process that ends may close its
listening socket last."""


class RunnerLiveness:
    """Tells the end of an answer from that of its runner.

    An answer with neither a length nor chunks ends with its connection. If its runner
    crashes and the connection is closed in order, half of the answer looks complete.
    """

    def __init__(
        self,
        *,
        table: RunnerTable,
        connections: OpenConnections,
        is_listening: Callable[[Runner], Awaitable[bool]],
    ) -> None:
        """Create the check; ``is_listening`` opens a connection to a runner."""
        self._table = table
        self._connections = connections
        self._is_listening = is_listening

    async def check_end(self, runner: Runner, body_end: BodyEnd, *, step: str) -> None:
        """Raise ``AttemptError`` if a runner's answer has ended because it crashed."""
        if body_end is not BodyEnd.CONNECTION or await self.lives_on(runner):
            return
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step=step,
            peer=runner.runner_id,
            reason="the runner ended with an answer that has no length",
            is_connection_lost=True,
        )

    async def lives_on(self, runner: Runner) -> bool:
        """Return whether a runner has not crashed at the end of an answer.

        One that is leaving may end after its last answer.
        """
        await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
        if self._connections.is_any_open(runner.address, runner.port):
            return True
        entry = self._table.get(runner.runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            return True
        return await self._is_listening(runner)
