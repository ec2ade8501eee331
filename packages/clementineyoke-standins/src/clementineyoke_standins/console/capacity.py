"""``make capacity``: measure all slopes, write them as JSON and plot them."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from clementineyoke_standins.capacity.state_slopes import measure_state  # noqa: E402
from clementineyoke_standins.capacity.stream_slopes import (  # noqa: E402
    measure_streams,
)
from clementineyoke_standins.capacity.work_slopes import measure_work  # noqa: E402
from clementineyoke_wire.log_sink import configure_stream_logging  # noqa: E402

BUILD = Path("build")


def main() -> None:
    """Measure and print all slopes; write ``build/capacity.json`` and a plot."""
    configure_stream_logging("ERROR")
    slopes = [*measure_state(), *measure_work(), *measure_streams()]
    BUILD.mkdir(exist_ok=True)
    document = {"slopes": [slope._asdict() for slope in slopes]}
    (BUILD / "capacity.json").write_text(json.dumps(document, indent=2))
    figure, axes = plt.subplots(5, 5, figsize=(20, 16))
    for slope, axis in zip(slopes, axes.flat, strict=False):
        xs = [x for x, _ in slope.points]
        axis.scatter(xs, [y for _, y in slope.points])
        axis.plot(xs, [slope.at(x) for x in xs])
        axis.set_title(slope.name, fontsize=8)
        axis.set_xlabel(slope.per)
        axis.set_ylabel(slope.unit)
    figure.tight_layout()
    figure.savefig(BUILD / "capacity.png")
    for slope in slopes:
        print(
            f"{slope.name:<42}{slope.rate:>10.3f} {slope.unit} per {slope.per}"
            f" + {slope.offset:.0f} (largest error {slope.worst_error:.1%})"
        )


if __name__ == "__main__":
    main()
