"""Statistics reported by the fake runners."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_standins.demo.layout import runner_url

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody

RunnerStats = dict[str, dict[str, Any]]
"""Statistics of each runner by host name."""


async def read_runner_stats(runners: list[HostBody]) -> RunnerStats:
    """Fetch the statistics of each runner from ``/stats``."""
    stats: RunnerStats = {}
    async with aiohttp.ClientSession() as session:
        for host in runners:
            async with session.get(f"{runner_url(host)}/stats") as response:
                stats[host["host"]] = await response.json()
    return stats


def count_executions(stats: RunnerStats) -> Counter[str]:
    """Return the number of executions by mark, summed over all runners."""
    totals: Counter[str] = Counter()
    for counts in stats.values():
        totals.update(counts.get("executions", {}))
    return totals
