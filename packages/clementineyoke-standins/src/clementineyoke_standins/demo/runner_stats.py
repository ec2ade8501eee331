"""What the stand-in runners counted."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_standins.demo.layout import runner_url

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody

RunnerStats = dict[str, dict[str, Any]]
"""Each runner's own figures, by its host's name."""


async def read_runner_stats(runners: list[HostBody]) -> RunnerStats:
    """Ask each runner for its figures."""
    stats: RunnerStats = {}
    async with aiohttp.ClientSession() as session:
        for host in runners:
            async with session.get(f"{runner_url(host)}/stats") as answer:
                stats[host["host"]] = await answer.json()
    return stats


def count_executions(stats: RunnerStats) -> Counter[str]:
    """Return how often each mark was executed, over all runners."""
    totals: Counter[str] = Counter()
    for figures in stats.values():
        totals.update(figures.get("executions", {}))
    return totals
