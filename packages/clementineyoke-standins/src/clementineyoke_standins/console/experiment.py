"""``make experiment``: compare versions of the code on the same days and seeds."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from clementineyoke_standins.experiment.benchmark_launcher import (
    ArmRun,
    BenchmarkLauncher,
    Case,
)
from clementineyoke_standins.experiment.paired_difference import compare

if TYPE_CHECKING:
    from clementineyoke_standins.experiment.day_report import DayReport
    from clementineyoke_standins.experiment.paired_difference import PairedDifference

FOLDER = Path("build/experiment")
MIN_SHOWN_DIFFERENCE = 0.0005
"""Smaller differences are not printed, except that of the worth."""
ARM_METRICS = (
    "part: whole day",
    "part: worst windows",
    "part: worst class",
    "part: nines",
    "prices",
)
"""Printed for each of several arms if the interval excludes zero."""
Pairs = list[tuple["DayReport", "DayReport"]]
ReportsByArm = dict[str, list["DayReport | None"]]
"""Reports by arm, in the order of the cases; None where a run gave no report."""


def run(
    *,
    bench: str,
    arms: str,
    sites: str,
    days: str,
    why: str,
    seeds: int = 4,
    first_seed: int = 1001,
    jobs: int = 4,
    cpu: bool = True,
    small: bool = False,
    name: str = "experiment",
) -> None:
    """Run arms, given as ``old=DIR,new=DIR``, on each site, day and seed.

    DIR is a work tree; a day is a name or the path of a TOML file. With ``small``,
    scaled-down variants of large days are run, which allows many seeds. Compares each
    arm with the first one and prints the paired differences with their 95% intervals,
    all metrics for two arms or a summary per arm for more. Writes all differences to
    ``build/experiment/NAME.json``, and a plot per arm to the same folder.
    """
    work_trees = dict(entry.split("=", 1) for entry in _split_option(arms))
    folder = (FOLDER / name).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    launcher = BenchmarkLauncher(
        bench=Path(bench).resolve(),
        arms={arm: Path(work_tree).resolve() for arm, work_tree in work_trees.items()},
        folder=folder,
        why=why,
        jobs=jobs,
        charges_cpu=cpu,
        is_small=small,
    )
    cases = [
        Case(str(Path(site).resolve()), _resolve_day(day), seed)
        for site in _split_option(sites)
        for day in _split_option(days)
        for seed in range(first_seed, first_seed + seeds)
    ]
    reports_by_arm = asyncio.run(_run_all(launcher, list(work_trees), cases))
    _report(reports_by_arm, FOLDER / f"{name}.json")


def _resolve_day(day: str) -> str:
    """Return the name of a day unchanged, and the path of a TOML file made absolute."""
    return str(Path(day).resolve()) if day.endswith(".toml") else day


def _split_option(text: object) -> list[str]:
    """Split an option at commas, unless ``fire`` has already done so."""
    if isinstance(text, list | tuple):
        return [str(word) for word in text]
    return str(text).split(",")


async def _run_all(
    launcher: BenchmarkLauncher, arms: list[str], cases: list[Case]
) -> ReportsByArm:
    reports_by_arm: ReportsByArm = {arm: [None] * len(cases) for arm in arms}

    async def run_case(index: int, case: Case) -> None:
        reports = await asyncio.gather(
            *(launcher.run(ArmRun(arm, case)) for arm in arms)
        )
        for arm, report in zip(arms, reports, strict=True):
            reports_by_arm[arm][index] = report
        worths = " ".join("-" if r is None else f"{r.worth:.3f}" for r in reports)
        print(f"{case.day} {case.seed}: {worths}", flush=True)

    await asyncio.gather(*(run_case(*numbered) for numbered in enumerate(cases)))
    return reports_by_arm


def _report(reports_by_arm: ReportsByArm, path: Path) -> None:
    first, *others = reports_by_arm
    results: dict[str, dict[str, PairedDifference]] = {}
    for arm in others:
        pairs = _complete_pairs(reports_by_arm[first], reports_by_arm[arm])
        if not pairs:
            print(f"{arm}: no pair of runs gave two reports")
            continue
        results[arm] = _compare_metrics(pairs)
        _plot(pairs, (first, arm), path.with_name(f"{path.stem}-{arm}.png"))
    if len(others) == 1:
        for differences in results.values():
            _print_metrics(differences)
    else:
        _print_arms(results)
    document = {
        arm: {name: result._asdict() for name, result in differences.items()}
        for arm, differences in results.items()
    }
    path.write_text(json.dumps(document, indent=1))


def _complete_pairs(
    first: list[DayReport | None], second: list[DayReport | None]
) -> Pairs:
    reports = zip(first, second, strict=True)
    return [(one, two) for one, two in reports if one is not None and two is not None]


def _print_metrics(results: dict[str, PairedDifference]) -> None:
    for metric, result in results.items():
        if metric == "worth" or abs(result.difference) >= MIN_SHOWN_DIFFERENCE:
            print(f"{metric:42} {result.first:9.4f} {result.second:9.4f} {result}")


def _print_arms(results: dict[str, dict[str, PairedDifference]]) -> None:
    for arm, differences in results.items():
        broken_count = (
            differences["broken rules"].second * differences["broken rules"].pairs
        )
        print(f"{arm:14} worth {differences['worth']}  rules broken {broken_count:.0f}")
        for metric in ARM_METRICS:
            if metric in differences and differences[metric].is_clear:
                print(f"{'':14} {metric} {differences[metric]}")


def _compare_metrics(pairs: Pairs) -> dict[str, PairedDifference]:
    metrics = [(first.metrics(), second.metrics()) for first, second in pairs]
    names = list(
        dict.fromkeys(name for pair in metrics for values in pair for name in values)
    )
    return {
        name: compare(
            [first.get(name, 0.0) for first, _ in metrics],
            [second.get(name, 0.0) for _, second in metrics],
        )
        for name in names
    }


def _plot(pairs: Pairs, arms: tuple[str, str], path: Path) -> None:
    """Plot the worth of each pair; above the diagonal the second arm is better."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(5, 5))
    axes.scatter([p[0].worth for p in pairs], [p[1].worth for p in pairs])
    axes.axline((0.5, 0.5), slope=1, linewidth=0.8)
    axes.set_xlabel(f"worth, {arms[0]}")
    axes.set_ylabel(f"worth, {arms[1]}")
    figure.savefig(path)
    plt.close(figure)


if __name__ == "__main__":
    fire.Fire(run)
