"""``make experiment``: arms of the code on the same days and seeds, with intervals."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from clementineyoke_standins.experiment.day_player import DayPlayer, Play
from clementineyoke_standins.experiment.paired_difference import compare

if TYPE_CHECKING:
    from clementineyoke_standins.experiment.day_report import DayReport
    from clementineyoke_standins.experiment.paired_difference import PairedDifference

FOLDER = Path("build/experiment")
LEAST_SHOWN = 0.0005
"""Differences of prices and parts under this are not printed."""
Pairs = list[tuple["DayReport", "DayReport"]]


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
    name: str = "experiment",
) -> None:
    """Play two arms, given as ``old=DIR,new=DIR``, on each site, day and seed.

    DIR is a work tree. Prints the paired differences with their 95% intervals, and
    writes all figures to ``build/experiment/NAME.json`` with a plot beside it.
    """
    places = dict(entry.split("=", 1) for entry in _words(arms))
    first, second = places
    folder = (FOLDER / name).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    player = DayPlayer(
        bench=Path(bench).resolve(),
        arms={arm: Path(place).resolve() for arm, place in places.items()},
        folder=folder,
        why=why,
        jobs=jobs,
        charges_cpu=cpu,
    )
    paths = [str(Path(site).resolve()) for site in _words(sites)]
    cases = [
        (site, day, seed)
        for site in paths
        for day in _words(days)
        for seed in range(first_seed, first_seed + seeds)
    ]
    pairs = asyncio.run(_play_all(player, (first, second), cases))
    _report(pairs, (first, second), FOLDER / f"{name}.json")


def _words(text: object) -> list[str]:
    """Return the words of an option, which ``fire`` may have split already."""
    if isinstance(text, list | tuple):
        return [str(word) for word in text]
    return str(text).split(",")


async def _play_all(
    player: DayPlayer, arms: tuple[str, str], cases: list[tuple[str, str, int]]
) -> Pairs:
    pairs: Pairs = []

    async def play_pair(case: tuple[str, str, int]) -> None:
        first, second = await asyncio.gather(
            *(player.play(Play(arm, *case)) for arm in arms)
        )
        if first is not None and second is not None:
            pairs.append((first, second))
        difference = "no pair"
        if first is not None and second is not None:
            difference = f"{first.worth:.3f} {second.worth:.3f}"
        print(f"{len(pairs)}/{len(cases)} {case[1]} {case[2]}: {difference}")

    await asyncio.gather(*map(play_pair, cases))
    return pairs


def _report(pairs: Pairs, arms: tuple[str, str], path: Path) -> None:
    if not pairs:
        print("no pairs were played")
        return
    found = _differences(pairs)
    print(f"{'':42} {arms[0]:>9} {arms[1]:>9} {'diff':>9}   95% of {len(pairs)} pairs")
    for figure, result in found.items():
        is_large = abs(result.difference) >= LEAST_SHOWN
        if figure == "worth" or is_large:
            mark = "" if result.is_clear else "  unclear"
            print(
                f"{figure:42} {result.first:9.4f} {result.second:9.4f}"
                f" {result.difference:+9.4f}   [{result.low:+.4f}, {result.high:+.4f}]"
                f"{mark}"
            )
    document = {name: result._asdict() for name, result in found.items()}
    path.write_text(json.dumps(document, indent=1))
    _plot(pairs, arms, path.with_suffix(".png"))


def _differences(pairs: Pairs) -> dict[str, PairedDifference]:
    figures = [(first.figures(), second.figures()) for first, second in pairs]
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
