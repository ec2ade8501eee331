"""``make demo``: run the demo scenario and print the result table."""

from __future__ import annotations

import asyncio
import sys

import fire

from clementineyoke_standins.demo.demo_scenario import DemoScenario
from clementineyoke_standins.demo.deployment import DEPLOYMENTS
from clementineyoke_standins.demo.report import make_lines, render


def run(deployment: str = "league", seed: int = 1) -> None:
    """Run the demo of a deployment (league or coop); exit 1 if a guarantee fails."""
    if deployment not in DEPLOYMENTS:
        sys.exit(f"unknown deployment {deployment!r}; use {', '.join(DEPLOYMENTS)}")
    scenario = DemoScenario(deployment=DEPLOYMENTS[deployment], seed=seed)
    lines = make_lines(asyncio.run(scenario.run()))
    print(render(lines))
    if any(line.is_met is False for line in lines):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
