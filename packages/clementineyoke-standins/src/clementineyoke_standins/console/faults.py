"""``make faults``: every pair of faults under traffic, then an audit."""

from __future__ import annotations

import asyncio
import sys

import fire

from clementineyoke_standins.demo.deployment import DEPLOYMENTS
from clementineyoke_standins.faults.fault_run import FaultRun

ALL_PAIRS = 1_000


def run(deployment: str = "league", seed: int = 1, pairs: int = ALL_PAIRS) -> None:
    """Play pairs of faults (all, or the first few); exits 1 if a promise broke."""
    played = FaultRun(deployment=DEPLOYMENTS[deployment], seed=seed, most_pairs=pairs)
    audit = asyncio.run(played.run())
    for name, value in audit._asdict().items():
        print(f"{name:<18}{value}")
    print(f"{'outcomes':<18}{dict(sorted(played.tally.outcomes.items()))}")
    if not audit.is_clean:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
