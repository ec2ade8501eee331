"""Watches how much memory node processes take while others send bytes without end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from clementineyoke_node.timers.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from clementineyoke_standins.edge.edge_runner import EdgeRunner
    from clementineyoke_standins.soak.node_process import NodeProcess

MAX_GROWTH_MB = 32.0
MAX_TAKEN_BYTES = 8_000_000
"""What a node may take on one connection."""
SAMPLE_INTERVAL_S = 0.05


class MemoryWatch:
    """Sample the memory of nodes until it is left; each may grow by a bound."""

    def __init__(self, nodes: Sequence[NodeProcess]) -> None:
        self._nodes = nodes
        self._tasks = BackgroundTasks()
        self._rest_mb: dict[int, float] = {}
        """Memory of each process when it was first seen, by its id."""
        self._most_mb: dict[int, float] = {}

    async def __aenter__(self) -> Self:
        """Start to sample."""
        await self._tasks.__aenter__()
        self._sample()
        self._tasks.spawn(self._run(), name="watch_memory")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop."""
        await self._tasks.__aexit__(*exc_info)

    def violations(self) -> Iterable[str]:
        """Return a line for each process that has grown by more than the bound."""
        for pid, most_mb in self._most_mb.items():
            growth_mb = most_mb - self._rest_mb[pid]
            if growth_mb > MAX_GROWTH_MB:
                yield f"node process {pid} grew by {growth_mb:.0f} MB to {most_mb:.0f}"

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._sample()

    def _sample(self) -> None:
        for node in self._nodes:
            pid, resident_mb = node.resident_mb()
            if pid is not None:
                self._rest_mb.setdefault(pid, resident_mb)
                most_mb = self._most_mb.get(pid, 0.0)
                self._most_mb[pid] = max(most_mb, resident_mb)


def check_taken(runner: EdgeRunner, *, since_s: float) -> Iterable[str]:
    """Return a line if a connection took too much that ended after a time.

    The kernel takes some megabytes more for a node that stands still.
    """
    taken = [send.sent_bytes for send in runner.raw_sends if send.ended_s > since_s]
    if max(taken, default=0) > MAX_TAKEN_BYTES:
        yield f"{runner.runner_id}: a connection took {max(taken)} bytes without end"


def check_ended(runners: Iterable[EdgeRunner]) -> Iterable[str]:
    """Return a line for each runner whose bytes without end are still taken."""
    for runner in runners:
        if runner.open_raw_answers:
            yield f"{runner.runner_id}: {runner.open_raw_answers} endless answers go on"
