"""``make demo``: play an evening and print the table."""

from __future__ import annotations

import asyncio
import sys

import fire

from clementineyoke_standins.demo.deployment import DEPLOYMENTS
from clementineyoke_standins.demo.evening import DemoScenario
from clementineyoke_standins.demo.report import make_lines, render


def run(deployment: str = "league", seed: int = 1) -> None:
    """Play an evening of a deployment (league or coop); exits 1 on a broken promise."""
    if deployment not in DEPLOYMENTS:
        sys.exit(f"no deployment {deployment!r}; there are {', '.join(DEPLOYMENTS)}")
    evening = DemoScenario(deployment=DEPLOYMENTS[deployment], seed=seed)
    lines = make_lines(asyncio.run(evening.run()))
    print(render(lines))
    if any(line.is_met is False for line in lines):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
