"""``make soak``: random faults on real node processes, and the promises checked."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import NamedTuple

import fire
import json5

from clementineyoke_standins.soak.soak_run import SoakReport, SoakRun

FOLDER = Path("build/soak")
REGRESSION_SEEDS = Path("samples/soak-seeds.json")
"""Seeds that have failed once, each with its cause."""
LENGTH_S = 14.0


class SeedRun(NamedTuple):
    """A seed to play, and for how long faults begin."""

    seed: int
    length_s: float
    has_crashes: bool = True
    """Whether requests come that end their runners; not in seeds from before."""
    has_zone_work: bool = True
    """Whether zones are emptied and runners are cold in every second seed."""
    has_runner_signals: bool = True
    """Whether runners shed calls, and drain before their entries say so."""


def run(
    seeds: str = "1-3",
    *,
    length_s: float = LENGTH_S,
    timed: bool = True,
    kept: bool = False,
) -> None:
    """Play seeds such as ``7``, ``1-50`` or ``3,8``; exits 1 if a promise broke.

    ``--timed=False`` leaves out promises that a busy machine would decide; ``--kept``
    adds the seeds that have failed before.
    """
    wanted = [SeedRun(seed, length_s) for seed in _parse_seeds(str(seeds))]
    if kept:
        entries = json5.loads(REGRESSION_SEEDS.read_text())
        wanted += [
            SeedRun(
                entry["seed"],
                entry["length_s"],
                entry.get("has_crashes", False),
                entry.get("has_zone_work", False),
                entry.get("has_runner_signals", False),
            )
            for entry in entries
        ]
    reports = [_run_seed(entry, is_timed=timed) for entry in wanted]
    failed = [report for report in reports if report.broken]
    print(
        f"{len(reports) - len(failed)} seeds kept every promise, {len(failed)} did not"
    )
    if failed:
        sys.exit(1)


def _run_seed(wanted: SeedRun, *, is_timed: bool) -> SoakReport:
    folder = FOLDER / f"seed-{wanted.seed}"
    played = SoakRun(**wanted._asdict(), folder=folder, is_timed=is_timed)
    report = asyncio.run(played.run())
    print(
        f"seed {report.seed}: {report.calls} calls, {report.served} served,"
        f" {len(report.faults)} faults, all serve {report.recovered_s:.1f} s after"
    )
    for line in report.broken:
        print(f"  BROKEN {line}")
    if report.broken:
        print(f"  faults: {', '.join(report.faults)}; logs in {folder}")
    sys.stdout.flush()
    return report


def _parse_seeds(seeds: str) -> list[int]:
    wanted: list[int] = []
    for part in seeds.strip("()").replace(" ", "").split(","):
        if not part:
            continue
        first, _, last = part.partition("-")
        wanted += range(int(first), int(last or first) + 1)
    return wanted


if __name__ == "__main__":
    fire.Fire(run)
