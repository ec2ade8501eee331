"""Prints, writes and plots the benchmark results."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

if TYPE_CHECKING:
    from clementineyoke_standins.bench.bench_case import BenchCase
    from clementineyoke_standins.bench.policy_cases import PolicyTable

BOUNDS_FILE = Path(__file__).with_name("bounds.json")


def load_bounds() -> dict[str, float]:
    """Return the committed bounds by case name, from ``bounds.json``."""
    bounds: dict[str, float] = json.loads(BOUNDS_FILE.read_text(encoding="utf-8"))
    return bounds


def render_tables(tables: list[PolicyTable]) -> str:
    """Return the comparison of policies as text."""
    lines: list[str] = []
    for table in tables:
        size = table.size
        lines.append(f"{table.shape.name}: {size.nodes} nodes, {size.runners} runners")
        lines.append(
            f"  {'policy':<16}{'reuse':>7}{'skew':>7}{'over':>8}{'excess':>8}"
            f"{'refused':>9}{'bytes/s':>9}{'us':>6}"
        )
        for name, run in table.runs.items():
            metrics = run.metrics
            over = metrics.grants_over_bound / metrics.requests
            lines.append(
                f"  {name:<16}{metrics.reuse:>7.3f}{metrics.worst_skew:>7.2f}"
                f"{over:>8.2%}{metrics.worst_excess:>8}{metrics.refused:>9}"
                f"{run.control_bytes_per_s:>9.0f}{run.cpu_us:>6.0f}"
            )
    return "\n".join(lines)


def render_cases(cases: list[BenchCase]) -> str:
    """Return the cases as text; those outside their bounds are marked BROKEN."""
    lines = []
    for case in cases:
        mark = "" if case.is_within_bound else "  BROKEN"
        bound = "-" if case.bound is None else f"{case.bound:g}"
        baseline = "-" if case.baseline is None else f"{case.baseline:.4g}"
        lines.append(
            f"{case.name:<40}{case.value:>10.4g}  baseline {baseline:>8}"
            f"  bound {bound:>7}{mark}"
        )
    return "\n".join(lines)


def write_json(cases: list[BenchCase], path: Path) -> None:
    """Write the cases as one JSON object."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = {"cases": [case._asdict() for case in cases]}
    path.write_text(json.dumps(document, indent=2), encoding="utf-8")


def draw(tables: list[PolicyTable], folder: Path) -> None:
    """Plot reuse against skew, and load over time, in one image per workload."""
    folder.mkdir(parents=True, exist_ok=True)
    for table in tables:
        figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4))
        for name, run in table.runs.items():
            left.scatter(run.metrics.worst_skew, run.metrics.reuse)
            left.annotate(name, (run.metrics.worst_skew, run.metrics.reuse))
        left.set_xlabel("worst load over mean")
        left.set_ylabel("reuse")
        for name in ("fleet", "stale bounded", "oracle"):
            samples = table.runs[name].metrics.samples
            times_s = [at_ms / 1000 for at_ms, _, _ in samples]
            right.plot(times_s, [max_load for _, _, max_load in samples], label=name)
        right.plot(times_s, [mean for _, mean, _ in samples], "k:", label="mean")
        right.set_xlabel("s")
        right.set_ylabel("largest load")
        right.legend()
        figure.suptitle(f"{table.shape.name}, {table.size.name}")
        name = f"{table.shape.name}-{table.size.name}".replace(" ", "-")
        figure.savefig(folder / f"{name}.png")
        plt.close(figure)
