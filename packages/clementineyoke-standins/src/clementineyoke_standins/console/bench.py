"""``make bench``: run the benchmark and compare it with the committed bounds."""

from __future__ import annotations

import sys
from pathlib import Path

import fire

from clementineyoke_standins.bench.claims_case import measure_claims
from clementineyoke_standins.bench.decision_case import measure_decision
from clementineyoke_standins.bench.limits_case import measure_limits
from clementineyoke_standins.bench.overhead_case import measure_overhead
from clementineyoke_standins.bench.paper_case import measure_paper_ideas
from clementineyoke_standins.bench.policy_cases import run_tables, to_cases
from clementineyoke_standins.bench.report import (
    draw,
    load_bounds,
    render_cases,
    render_tables,
    write_json,
)
from clementineyoke_standins.bench.spread_case import measure_spread
from clementineyoke_wire.log_sink import configure_stream_logging

BUILD = Path("build")


def run(seed: int = 1, quick: bool = False) -> None:
    """Run the benchmark, write ``build/bench.json`` and exit 1 if a bound is broken.

    Args:
        seed: Seed of all randomness.
        quick: Run only the cases in virtual time, whose results are deterministic (CI).

    """
    configure_stream_logging("ERROR")
    bounds = load_bounds()
    tables = run_tables(seed=seed)
    cases = to_cases(tables, bounds, seed=seed)
    cases.append(measure_spread(bounds, seed=seed))
    cases += measure_limits(bounds, seed=seed)
    cases += measure_paper_ideas(bounds, seed=seed)
    if not quick:
        cases.append(measure_decision(bounds, seed=seed))
        cases += measure_claims(bounds, seed=seed)
        cases += measure_overhead(bounds, seed=seed)
        draw(tables, BUILD / "plots")
    write_json(cases, BUILD / "bench.json")
    print(render_tables(tables))
    print(render_cases(cases))
    if not all(case.is_within_bound for case in cases):
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run)
