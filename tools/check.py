"""Run every check of the project and print ``N passed, N failed`` at the end.

Each command in ``CHECKS`` and each behave scenario counts as one.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent
BUILD = ROOT / "build"
STANDINS_CONSOLE = "clementineyoke_standins.console"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class Check(NamedTuple):
    """A command that passes if it exits with 0."""

    name: str
    module: str
    args: tuple[str, ...]

    def command(self) -> list[str]:
        """Return the command line; a ``module`` that ends with .py is run as a file."""
        if self.module.endswith(".py"):
            return [sys.executable, self.module, *self.args]
        return [sys.executable, "-m", self.module, *self.args]


class Tally(NamedTuple):
    """Number of checks or scenarios that passed, and names of those that failed."""

    passed: int
    failed: list[str]


CHECKS = (
    Check("format", "ruff", ("format", "--check", ".")),
    Check("lint", "ruff", ("check", ".")),
    Check("types", "mypy", (*map(str, sorted(ROOT.glob("packages/*/src"))), "tools")),
    Check("boundary", "tools/boundary.py", ()),
    Check("event catalogue", f"{STANDINS_CONSOLE}.events", ("--check",)),
    Check("model", f"{STANDINS_CONSOLE}.model", ()),
    Check("bench bounds", f"{STANDINS_CONSOLE}.bench", ("--quick",)),
    *(
        Check(
            f"soak seed {seed}",
            f"{STANDINS_CONSOLE}.soak",
            (f"--seeds={seed}", "--length_s=5", "--timed=False"),
        )
        for seed in (1, 2)
    ),
)


def main() -> None:
    """Run all checks; exit 1 if any failed that is not listed in KNOWN-RED.txt."""
    BUILD.mkdir(exist_ok=True)
    tallies = [_run_check(check) for check in CHECKS]
    tallies += [_run_features(path) for path in sorted(ROOT.glob("packages/*/tests"))]
    failed = [name for tally in tallies for name in tally.failed]
    for name in failed:
        print(f"FAILED {name}")
    print(f"{sum(tally.passed for tally in tallies)} passed, {len(failed)} failed")
    sys.exit(1 if set(failed) - _known_failures() else 0)


def _run_check(check: Check) -> Tally:
    print(f"== {check.name}", flush=True)
    result = subprocess.run(check.command(), cwd=ROOT, check=False)
    if result.returncode:
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
    result = subprocess.run(command, cwd=ROOT, check=False)
    tally = _count_scenarios(package, report)
    if result.returncode and not tally.failed:
        return Tally(
            tally.passed, [f"{package}: behave ended with {result.returncode}"]
        )
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
                print(_error_messages(element))
    return Tally(passed, failed)


def _error_messages(element: dict[str, Any]) -> str:
    """Return the error messages of a scenario's failed steps."""
    messages = [
        step["result"].get("error_message", [])
        for step in element["steps"]
        if step.get("result")
    ]
    # behave gives a message as one text or as its lines.
    texts = [text if isinstance(text, str) else "\n".join(text) for text in messages]
    return "\n".join(text for text in texts if text)


def _known_failures() -> set[str]:
    """Return the names in KNOWN-RED.txt, the first field of each line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(" | ")[0] for line in lines if line.strip()}


if __name__ == "__main__":
    main()
