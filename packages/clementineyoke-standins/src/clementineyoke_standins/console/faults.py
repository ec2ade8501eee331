"""``make faults``: inject every pair of faults under traffic, then audit."""

from __future__ import annotations

import asyncio
import sys

import fire

from clementineyoke_standins.demo.deployment import DEPLOYMENTS
from clementineyoke_standins.faults.fault_run import FaultRun

ALL_PAIRS = 1_000


def run(deployment: str = "league", seed: int = 1, pairs: int = ALL_PAIRS) -> None:
    """Inject pairs of faults, all or the first few; exit 1 if the audit fails."""
    fault_run = FaultRun(deployment=DEPLOYMENTS[deployment], seed=seed, max_pairs=pairs)
    audit = asyncio.run(fault_run.run())
    for name, value in audit._asdict().items():
        print(f"{name:<18}{value}")
    print(f"{'outcomes':<18}{dict(sorted(fault_run.tally.outcomes.items()))}")
    if not audit.is_clean:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
