"""Runs days with the users' benchmark program, a bounded number at once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import NamedTuple

from clementineyoke_standins.experiment.day_report import DayReport, read_report


class Case(NamedTuple):
    """One day with one seed, run in every arm."""

    site: str
    day: str
    """Name of a day in the site file, or the path of a TOML file with another day."""
    seed: int


class ArmRun(NamedTuple):
    """A case to run in one arm."""

    arm: str
    case: Case

    @property
    def label(self) -> str:
        """Base name of the files that the run writes."""
        site, day, seed = self.case
        return f"{self.arm}-{Path(site).stem}-{Path(day).stem}-{seed}"


class BenchmarkLauncher:
    """Starts benchmark processes, each in the work tree of its arm."""

    def __init__(
        self,
        *,
        bench: Path,
        arms: dict[str, Path],
        folder: Path,
        why: str,
        jobs: int,
        charges_cpu: bool,
        is_small: bool = False,
    ) -> None:
        """Initialize the launcher.

        Args:
            bench: Path of the benchmark program.
            arms: Work tree of each arm by name.
            folder: Folder for reports and outputs.
            why: Reason that is passed on to the benchmark program.
            jobs: Maximum number of concurrent processes.
            charges_cpu: Whether the benchmark program charges for CPU time.
            is_small: Whether to run the scaled-down variants of large days.

        """
        self._bench = bench
        self._arms = arms
        self._folder = folder
        self._why = why
        self._charges_cpu = charges_cpu
        self._is_small = is_small
        self._job_slots = asyncio.Semaphore(jobs)

    async def run(self, arm_run: ArmRun) -> DayReport | None:
        """Run the benchmark; return its report, or None if it wrote no valid one."""
        report = self._folder / f"{arm_run.label}.json"
        report.unlink(missing_ok=True)
        async with self._job_slots:
            process = await asyncio.create_subprocess_exec(
                str(self._bench),
                *self._arguments(arm_run, report),
                cwd=self._arms[arm_run.arm],
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await process.communicate()
        (self._folder / f"{arm_run.label}.txt").write_bytes(output)
        try:
            return read_report(report.read_text())
        except (OSError, ValueError) as error:
            print(f"{arm_run.label}: no report: {error}")
            return None

    def _arguments(self, arm_run: ArmRun, report: Path) -> list[str]:
        site, day, seed = arm_run.case
        arguments = ["run", site, day, "--seed", str(seed)]
        arguments += ["--report", str(report), "--why", self._why]
        if self._is_small:
            arguments.append("--small")
        if not self._charges_cpu:
            arguments.append("--no-cpu")
        return arguments
