"""``make soak``: inject random faults into node processes and check guarantees."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import NamedTuple

import fire
import json5

from clementineyoke_standins.soak.process_soak import ProcessFaults, run_process_soak
from clementineyoke_standins.soak.soak_run import SoakReport, SoakRun

FOLDER = Path("build/soak")
REGRESSION_SEEDS = Path("samples/soak-seeds.json")
"""Seeds of earlier failures, each with its cause."""
LENGTH_S = 14.0


class SeedRun(NamedTuple):
    """A seed to run, and for how many seconds new faults are injected."""

    seed: int
    length_s: float
    has_crashes: bool = True
    """Whether some requests crash their runners; off in older regression seeds."""
    has_zone_work: bool = True
    """Whether zones are evacuated and runners start cold, in every second seed."""
    has_runner_signals: bool = True
    """Whether runners shed calls, and drain before their entries show it."""
    has_path_faults: bool = True
    """Whether nodes lose their links to runners, and runners are brittle or silent."""
    has_versions: bool = True
    """Whether runners of two versions serve, and callers resume broken streams."""
    has_crashing_parts: bool = True
    """Whether runners crash on a part of prompts; in every second seed their answers
    end with their connections."""
    has_pauses: bool = True
    """Whether runners stop working for a second, another writer adds an entry that no
    node can read, and a caller reads long answers slowly."""
    has_endless_bytes: bool = True
    """Whether a runner and the store send bytes without end."""
    has_release: bool = True
    """Whether all nodes are killed amid a release of a new version."""
    has_replacements: bool = True
    """Whether most runners return under new IDs, and nodes are killed in a release
    that replaces runners so."""
    has_entry_changes: bool = True
    """Whether runners' entries change while they go on with streams."""
    has_malformed_answers: bool = True
    """Whether a runner's answers have malformed heads, and a caller reads by HTTP's
    grammar."""
    has_power_losses: bool = False
    """Whether nothing is played but releases with losses of all nodes."""


def run(
    seeds: str = "1-3",
    *,
    length_s: float = LENGTH_S,
    timed: bool = True,
    kept: bool = False,
    replacements_only: bool = False,
    runner_processes: bool = False,
    machine_faults: bool = False,
    power_losses: bool = False,
    node_python: str = sys.executable,
) -> None:
    """Run seeds such as ``7``, ``1-50`` or ``3,8``; exit 1 if a guarantee is broken.

    ``--timed=False`` skips guarantees whose result depends on the load of the machine;
    ``--kept`` adds the regression seeds. ``--replacements_only`` plays nothing but
    releases that replace runners while nodes are killed. ``--runner_processes`` plays
    nothing but releases in which runners are processes, too, and faults are signals;
    ``--machine_faults`` plays these amid clock steps, resets, spoilt answers, changed
    settings, added nodes and losses of power; ``--power_losses`` plays series of
    releases, with a loss of all nodes after each, while the store may take no writes.
    ``--node_python`` runs the nodes in the interpreter of another work tree, to compare
    two versions of the code.
    """
    process_faults = None
    if machine_faults:
        process_faults = ProcessFaults.MACHINES
    elif runner_processes:
        process_faults = ProcessFaults.SIGNALS
    options = dict.fromkeys(SeedRun._field_defaults, not replacements_only)
    options["has_replacements"] = True
    options["has_power_losses"] = power_losses
    seed_runs = [
        SeedRun(seed, length_s, **options) for seed in _parse_seeds(str(seeds))
    ]
    if kept:
        entries = json5.loads(REGRESSION_SEEDS.read_text())
        seed_runs += [
            SeedRun(**dict.fromkeys(SeedRun._field_defaults, False) | entry)
            for entry in entries
        ]
    reports = [
        _run_seed(
            entry,
            is_timed=timed,
            has_other_faults=not replacements_only,
            process_faults=process_faults,
            node_python=node_python,
        )
        for entry in seed_runs
    ]
    failed = [report for report in reports if report.violations]
    print(f"{len(reports) - len(failed)} seeds passed, {len(failed)} failed")
    if failed:
        sys.exit(1)


def _run_seed(
    seed_run: SeedRun,
    *,
    is_timed: bool,
    has_other_faults: bool,
    process_faults: ProcessFaults | None,
    node_python: str,
) -> SoakReport:
    folder = FOLDER / f"seed-{seed_run.seed}"
    if seed_run.has_power_losses:
        process_faults = ProcessFaults.POWER_LOSSES
    if process_faults is not None:
        running = run_process_soak(
            seed_run.seed,
            folder=folder,
            node_python=node_python,
            faults=process_faults,
            length_s=seed_run.length_s,
        )
    else:
        options = seed_run._asdict()
        del options["has_power_losses"]
        running = SoakRun(
            **options,
            folder=folder,
            is_timed=is_timed,
            has_other_faults=has_other_faults,
            node_python=node_python,
        ).run()
    report = asyncio.run(running)
    print(
        f"seed {report.seed}: {report.calls} calls, {report.served} served,"
        f" {len(report.faults)} faults, recovered after {report.recovery_s:.1f} s,"
        f" {report.resumed} of {report.resumptions} resumptions went on,"
        f" {report.failed_resumptions} were answered with 500"
    )
    if report.streams is not None:
        new, begun, resumable, resumed = report.streams
        print(
            f"  answered requests: {begun} of {new} new streams began, {resumed} of"
            f" {resumable} went on where runners of their version were ready"
        )
    for line in report.violations:
        print(f"  BROKEN {line}")
    if report.violations or process_faults is ProcessFaults.POWER_LOSSES:
        print(f"  faults: {'; '.join(report.faults)}; logs in {folder}")
    sys.stdout.flush()
    return report


def _parse_seeds(seeds: str) -> list[int]:
    parsed: list[int] = []
    for part in seeds.strip("()").replace(" ", "").split(","):
        if not part:
            continue
        first, _, last = part.partition("-")
        parsed += range(int(first), int(last or first) + 1)
    return parsed


if __name__ == "__main__":
    fire.Fire(run)
