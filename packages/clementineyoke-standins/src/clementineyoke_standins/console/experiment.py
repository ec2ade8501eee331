"""``make experiment``: arms of the code on the same days and seeds, with intervals."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from clementineyoke_standins.experiment.day_player import (
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
"""Differences of prices and parts under this are not printed."""
ARM_METRICS = (
    "part: whole day",
    "part: worst windows",
    "part: worst class",
    "part: nines",
    "prices",
)
"""Printed for each of several arms where the interval leaves no doubt."""
Pairs = list[tuple["DayReport", "DayReport"]]
ReportsByArm = dict[str, list["DayReport | None"]]
"""Reports of each arm, in the order of the cases."""


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
    """Play arms, given as ``old=DIR,new=DIR``, on each site, day and seed.

    DIR is a work tree; a day is a name or the path of a TOML file; with ``small`` the
    small twins of large days are played, for many seeds. Compares each arm with the
    first one: prints the paired differences with their 95% intervals, one line an arm,
    or every figure if there are only two arms; writes all to
    ``build/experiment/NAME.json`` with a plot beside it.
    """
    places = dict(entry.split("=", 1) for entry in _split_option(arms))
    folder = (FOLDER / name).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    player = BenchmarkLauncher(
        bench=Path(bench).resolve(),
        arms={arm: Path(place).resolve() for arm, place in places.items()},
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
    played = asyncio.run(_run_all(player, list(places), cases))
    _report(played, FOLDER / f"{name}.json")


def _resolve_day(word: str) -> str:
    """Return a day's name as it is, and the path of a day of our own made absolute."""
    return str(Path(word).resolve()) if word.endswith(".toml") else word


def _split_option(text: object) -> list[str]:
    """Return the words of an option, which ``fire`` may have split already."""
    if isinstance(text, list | tuple):
        return [str(word) for word in text]
    return str(text).split(",")


async def _run_all(
    player: BenchmarkLauncher, arms: list[str], cases: list[Case]
) -> ReportsByArm:
    played: ReportsByArm = {arm: [None] * len(cases) for arm in arms}

    async def play_case(index: int, case: Case) -> None:
        reports = await asyncio.gather(*(player.run(ArmRun(arm, case)) for arm in arms))
        for arm, report in zip(arms, reports, strict=True):
            played[arm][index] = report
        worths = " ".join("-" if r is None else f"{r.worth:.3f}" for r in reports)
        print(f"{case.day} {case.seed}: {worths}", flush=True)

    await asyncio.gather(*(play_case(*numbered) for numbered in enumerate(cases)))
    return played


def _report(played: ReportsByArm, path: Path) -> None:
    first, *others = played
    found: dict[str, dict[str, PairedDifference]] = {}
    for arm in others:
        pairs = _complete_pairs(played[first], played[arm])
        if not pairs:
            print(f"{arm}: no pairs were played")
            continue
        found[arm] = _compare_metrics(pairs)
        _plot(pairs, (first, arm), path.with_name(f"{path.stem}-{arm}.png"))
    if len(others) == 1:
        for differences in found.values():
            _print_metrics(differences)
    else:
        _print_arms(found)
    document = {
        arm: {name: result._asdict() for name, result in differences.items()}
        for arm, differences in found.items()
    }
    path.write_text(json.dumps(document, indent=1))


def _complete_pairs(
    first: list[DayReport | None], second: list[DayReport | None]
) -> Pairs:
    both = zip(first, second, strict=True)
    return [(one, two) for one, two in both if one is not None and two is not None]


def _print_metrics(found: dict[str, PairedDifference]) -> None:
    for figure, result in found.items():
        if figure == "worth" or abs(result.difference) >= MIN_SHOWN_DIFFERENCE:
            print(f"{figure:42} {result.first:9.4f} {result.second:9.4f} {result}")


def _print_arms(found: dict[str, dict[str, PairedDifference]]) -> None:
    for arm, differences in found.items():
        broken = differences["broken rules"].second * differences["broken rules"].pairs
        print(f"{arm:14} worth {differences['worth']}  rules broken {broken:.0f}")
        for figure in ARM_METRICS:
            if figure in differences and differences[figure].is_clear:
                print(f"{'':14} {figure} {differences[figure]}")


def _compare_metrics(pairs: Pairs) -> dict[str, PairedDifference]:
    figures = [(first.metrics(), second.metrics()) for first, second in pairs]
    names = list(dict.fromkeys(name for both in figures for f in both for name in f))
    return {
        name: compare(
            [first.get(name, 0.0) for first, _ in figures],
            [second.get(name, 0.0) for _, second in figures],
        )
        for name in names
    }


def _plot(pairs: Pairs, arms: tuple[str, str], path: Path) -> None:
    """Draw each pair's worth; above the line the second arm is better."""
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
