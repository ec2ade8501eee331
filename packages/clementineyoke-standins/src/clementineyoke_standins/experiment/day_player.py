"""Play days with the users' bench, a bounded number at once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import NamedTuple

from clementineyoke_standins.experiment.day_report import DayReport, read_report


class Case(NamedTuple):
    """One day with one seed, for all arms."""

    site: str
    day: str
    seed: int


class Play(NamedTuple):
    """One day with one seed, in one arm."""

    arm: str
    site: str
    day: str
    seed: int

    @property
    def label(self) -> str:
        """Name of the play's files."""
        return f"{self.arm}-{Path(self.site).stem}-{self.day}-{self.seed}"


class DayPlayer:
    """Own the bench's processes; each arm is a work tree of its own."""

    def __init__(
        self,
        *,
        bench: Path,
        arms: dict[str, Path],
        folder: Path,
        why: str,
        jobs: int,
        charges_cpu: bool,
    ) -> None:
        self._bench = bench
        self._arms = arms
        self._folder = folder
        self._why = why
        self._charges_cpu = charges_cpu
        self._free = asyncio.Semaphore(jobs)

    async def play(self, play: Play) -> DayReport | None:
        """Return the day's report, or None when the bench gave none."""
        report = self._folder / f"{play.label}.json"
        report.unlink(missing_ok=True)
        async with self._free:
            done = await asyncio.create_subprocess_exec(
                str(self._bench),
                *self._arguments(play, report),
                cwd=self._arms[play.arm],
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await done.communicate()
        (self._folder / f"{play.label}.txt").write_bytes(output)
        try:
            return read_report(report.read_text())
        except (OSError, ValueError) as error:
            print(f"{play.label}: no report: {error}")
            return None

    def _arguments(self, play: Play, report: Path) -> list[str]:
        arguments = ["run", play.site, play.day, "--seed", str(play.seed)]
        arguments += ["--report", str(report), "--why", self._why]
        if not self._charges_cpu:
            arguments.append("--no-cpu")
        return arguments
