"""Probe the runners that are not ready, a few at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.runners.runner_client import RunnerClient
    from clementineyoke_node.timers.timer_service import TimerService

MOST_PROBES_A_ROUND = 4
"""A zone's loss quarantines hundreds at once; probes must not become a storm."""


class RunnerProber:
    """Bring quarantined runners back once they prove that they serve."""

    def __init__(
        self, *, table: RunnerTable, client: RunnerClient, timers: TimerService
    ) -> None:
        self._table = table
        self._client = client
        self._timers = timers

    async def run_round(self) -> None:
        """Probe the runners that are due."""
        due = self._table.due_for_probe(now_ms=self._timers.now_ms())
        await asyncio.gather(*map(self._probe, due[:MOST_PROBES_A_ROUND]))

    async def _probe(self, runner: Runner) -> None:
        ready = await self._client.probe(runner)
        now_ms = self._timers.now_ms()
        self._table.record_probe(runner.runner_id, ready=ready, now_ms=now_ms)
