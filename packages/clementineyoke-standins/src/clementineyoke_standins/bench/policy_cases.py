"""Benchmark cases that compare policies: skew, cache reuse, control traffic."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_standins.bench.bench_case import BenchCase
from clementineyoke_standins.bench.fleet_size import SLICE, TODAY, FleetSize
from clementineyoke_standins.bench.policy_run import FLEET, PolicyRun, run_policies
from clementineyoke_standins.bench.workload import Shape

EVENING = Shape("ordinary evening", 24, 120, 2_000, teams=10)
FINALS_TODAY = Shape(
    "finals night",
    12,
    120,
    2_000,
    teams=10,
    surge_factor=3,
    surge_at_s=60,
    surge_seconds=30,
    hot_teams=2,
)
FINALS_SLICE = Shape(
    "finals night",
    120,
    90,
    10_000,
    teams=1_500,
    surge_factor=3,
    surge_at_s=50,
    surge_seconds=25,
    hot_teams=2,
)
HOLIDAY_SLICE = Shape(
    "holiday rush",
    80,
    90,
    10_000,
    teams=1_500,
    surge_factor=4,
    surge_at_s=35,
    surge_ramp_s=15,
    surge_seconds=55,
)
CHURN_SLICE = Shape("churn", 120, 90, 10_000, teams=1_500)
CHURN_REPLACED = 15
"""A tenth of the pool's runners, replaced within the run instead of within an hour."""


class PolicyTable(NamedTuple):
    """The runs of all policies on one workload."""

    size: FleetSize
    shape: Shape
    runs: dict[str, PolicyRun]


def run_tables(*, seed: int) -> list[PolicyTable]:
    """Simulate every workload with every policy."""
    scenarios = (
        (TODAY, EVENING, 0),
        (TODAY, FINALS_TODAY, 0),
        (SLICE, FINALS_SLICE, 0),
        (SLICE, HOLIDAY_SLICE, 0),
        (SLICE, CHURN_SLICE, CHURN_REPLACED),
    )
    return [
        PolicyTable(
            size, shape, run_policies(size, shape, seed=seed, replaced=replaced)
        )
        for size, shape, replaced in scenarios
    ]


def to_cases(
    tables: list[PolicyTable], bounds: dict[str, float], *, seed: int
) -> list[BenchCase]:
    """Return the benchmark cases computed from the tables."""
    cases: list[BenchCase] = []
    for table in tables:
        scale = f"{table.size.nodes} nodes, {table.size.runners} runners"
        for name, metric, value, baseline, higher_is_better in _compute_metrics(table):
            bound = bounds.get(name)
            cases.append(
                BenchCase(
                    name, metric, value, baseline, bound, higher_is_better, seed, scale
                )
            )
    return cases


def _compute_metrics(table: PolicyTable) -> list[tuple[str, str, float, float, bool]]:
    fleet = table.runs[FLEET]
    oracle = table.runs["oracle"].metrics
    stale = table.runs["stale bounded"].metrics
    fleet_metrics = fleet.metrics
    name = _case_name(table)
    over_bound_share = fleet_metrics.grants_over_bound / fleet_metrics.requests
    stale_over_bound_share = stale.grants_over_bound / stale.requests
    metrics = [
        (
            f"skew.{name}",
            "largest load less one slot over the mean, worst sample",
            fleet_metrics.worst_skew,
            oracle.worst_skew,
            False,
        ),
        (
            f"over_bound.{name}",
            "share of grants",
            over_bound_share,
            stale_over_bound_share,
            False,
        ),
        (
            f"worst_excess.{name}",
            "slots over the true bound",
            float(fleet_metrics.worst_excess),
            float(stale.worst_excess),
            False,
        ),
        (f"reuse.{name}", "share of returns", fleet_metrics.reuse, oracle.reuse, True),
        (f"refused.{name}", "requests", float(fleet_metrics.refused), 0.0, False),
    ]
    if name == "finals_night":
        metrics += [
            (
                "control.bytes_per_second_per_node",
                "bytes sent a second a node, slots and gossip of eight pools",
                fleet.control_bytes_per_s,
                0.0,
                False,
            ),
        ]
    return metrics


def _case_name(table: PolicyTable) -> str:
    name = table.shape.name.replace(" ", "_")
    return f"{name}.today" if table.size is TODAY else name
