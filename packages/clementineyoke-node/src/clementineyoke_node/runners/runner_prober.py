"""Probe runners that are quarantined or not ready yet, a few at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.runners.runner_client import RunnerClient
    from clementineyoke_node.timers.timer_service import TimerService

MAX_PROBES_PER_ROUND = 4
"""Limits the probe load when an outage of a zone quarantines hundreds of runners."""


class RunnerProber:
    """Returns quarantined and unready runners to service once they pass a probe."""

    def __init__(
        self, *, table: RunnerTable, client: RunnerClient, timers: TimerService
    ) -> None:
        self._table = table
        self._client = client
        self._timers = timers

    async def run_round(self) -> None:
        """Probe the runners that are due."""
        due = self._table.due_for_probe(now_ms=self._timers.now_ms())
        await asyncio.gather(*map(self._probe, due[:MAX_PROBES_PER_ROUND]))

    async def _probe(self, runner: Runner) -> None:
        ready = await self._client.probe(runner)
        now_ms = self._timers.now_ms()
        self._table.record_probe(runner.runner_id, ready=ready, now_ms=now_ms)
