"""Run every check of the project and end with ``N passed, N failed``.

Each linter, type check and tool counts as one; each behave scenario counts as one.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent
BUILD = ROOT / "build"
STANDINS = "clementineyoke_standins.console"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class Check(NamedTuple):
    """A command that passes or fails as one."""

    name: str
    module: str
    args: tuple[str, ...]

    def command(self) -> list[str]:
        """Return the command; a module's path is run as a file."""
        if self.module.endswith(".py"):
            return [sys.executable, self.module, *self.args]
        return [sys.executable, "-m", self.module, *self.args]


class Tally(NamedTuple):
    """How many passed, and the names of those that failed."""

    passed: int
    failed: list[str]


CHECKS = (
    Check("format", "ruff", ("format", "--check", ".")),
    Check("lint", "ruff", ("check", ".")),
    Check("types", "mypy", (*map(str, sorted(ROOT.glob("packages/*/src"))), "tools")),
    Check("boundary", "tools/boundary.py", ()),
    Check("event catalogue", f"{STANDINS}.events", ("--check",)),
    Check("model", f"{STANDINS}.model", ()),
    Check("bench bounds", f"{STANDINS}.bench", ("--quick",)),
    Check("soak", f"{STANDINS}.soak", ("--seeds=1-2", "--length_s=5", "--timed=False")),
)


def main() -> None:
    """Run all and exit 1 if anything failed that is not known to be red."""
    BUILD.mkdir(exist_ok=True)
    tallies = [_run_check(check) for check in CHECKS]
    tallies += [_run_features(path) for path in sorted(ROOT.glob("packages/*/tests"))]
    failed = [name for tally in tallies for name in tally.failed]
    for name in failed:
        print(f"FAILED {name}")
    print(f"{sum(tally.passed for tally in tallies)} passed, {len(failed)} failed")
    sys.exit(1 if set(failed) - _known_red() else 0)


def _run_check(check: Check) -> Tally:
    print(f"== {check.name}", flush=True)
    done = subprocess.run(check.command(), cwd=ROOT, check=False)
    if done.returncode:
        return Tally(0, [check.name])
    return Tally(1, [])


def _run_features(tests: Path) -> Tally:
    features = sorted(tests.rglob("*.feature"))
    if not features:
        return Tally(0, [])
    package = tests.parent.name
    print(f"== features of {package}", flush=True)
    report = BUILD / f"{package}-behave.json"
    report.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--format=json", f"--outfile={report}"]
    command += ["--format=progress", "--no-capture", str(tests)]
    done = subprocess.run(command, cwd=ROOT, check=False)
    tally = _count_scenarios(package, report)
    if done.returncode and not tally.failed:
        return Tally(tally.passed, [f"{package}: behave ended with {done.returncode}"])
    return tally


def _count_scenarios(package: str, report: Path) -> Tally:
    if not report.exists():
        return Tally(0, [f"{package}: behave left no report"])
    passed = 0
    failed: list[str] = []
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            if element.get("status") == "passed":
                passed += 1
            else:
                failed.append(f"{package}: {feature['name']}: {element['name']}")
                print(_errors_of(element))
    return Tally(passed, failed)


def _errors_of(element: dict[str, Any]) -> str:
    """Return what the steps of a scenario said when they failed."""
    messages = [
        "\n".join(step["result"].get("error_message", []))
        for step in element["steps"]
        if step.get("result")
    ]
    return "\n".join(message for message in messages if message)


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(" | ")[0] for line in lines if line.strip()}


if __name__ == "__main__":
    main()
