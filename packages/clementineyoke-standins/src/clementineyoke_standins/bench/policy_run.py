"""Simulates one workload with every policy."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_standins.bench.policies.baselines import (
    LeastReported,
    Oracle,
    PlainHash,
    RoundRobin,
    StaleBounded,
    TwoChoices,
)
from clementineyoke_standins.bench.policies.fleet import FleetPolicy
from clementineyoke_standins.bench.simulation import Replacement, Simulation
from clementineyoke_standins.bench.workload import generate
from clementineyoke_standins.bench.world import World

if TYPE_CHECKING:
    from clementineyoke_standins.bench.fleet_size import FleetSize
    from clementineyoke_standins.bench.policies.policy import Policy
    from clementineyoke_standins.bench.simulation import SimulationMetrics
    from clementineyoke_standins.bench.workload import Shape

WARM_UP_SHARE = 1 / 3
BASELINES = {
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "two choices": TwoChoices,
    "plain hash": PlainHash,
    "stale bounded": StaleBounded,
    "oracle": Oracle,
}
FLEET = "fleet"
FLEET_NO_TOKEN = "fleet, no token"


class PolicyRun(NamedTuple):
    """Result of one policy on one workload."""

    policy: str
    metrics: SimulationMetrics
    control_bytes_per_s: float
    """Sent by each node; 0 for baselines, whose load reports are not counted."""
    cpu_us: float
    """CPU time per decision; 0 for baselines."""


def run_policies(
    size: FleetSize, shape: Shape, *, seed: int, replaced: int = 0
) -> dict[str, PolicyRun]:
    """Return each policy's run of a workload, by policy name."""
    requests = generate(shape, seed=seed)
    replacements = _plan_replacements(size, shape, replaced)
    runs: dict[str, PolicyRun] = {}
    for name in (*BASELINES, FLEET_NO_TOKEN, FLEET):
        world = _make_world(size)
        policy = _make_policy(name, world, size, seed)
        metrics = Simulation(
            world=world,
            policy=policy,
            requests=requests,
            warm_up_ms=shape.seconds * 1000 * WARM_UP_SHARE,
            replacements=replacements,
        ).run()
        runs[name] = _make_run(name, policy, metrics, size, shape)
    return runs


def _make_world(size: FleetSize) -> World:
    return World(
        runner_ids=[f"engine-{index}" for index in range(size.runners)],
        slots=size.slots,
        cache_chats=size.cache_chats,
    )


def _make_policy(name: str, world: World, size: FleetSize, seed: int) -> Policy:
    rng = Random(seed + 1)
    if name in BASELINES:
        return BASELINES[name](world=world, rng=rng)
    return FleetPolicy(
        world=world, rng=rng, nodes=size.nodes, uses_placement_tokens=name == FLEET
    )


def _make_run(
    name: str,
    policy: Policy,
    metrics: SimulationMetrics,
    size: FleetSize,
    shape: Shape,
) -> PolicyRun:
    if not isinstance(policy, FleetPolicy):
        return PolicyRun(name, metrics, 0.0, 0.0)
    return PolicyRun(
        name,
        metrics,
        policy.control_bytes_per_s_per_node(shape.seconds, pools=size.pools),
        policy.cpu_s / max(1, policy.decisions) * 1e6,
    )


def _plan_replacements(
    size: FleetSize, shape: Shape, replaced: int
) -> list[Replacement]:
    step_ms = shape.seconds * 1000 / (replaced + 1)
    return [
        Replacement((n + 1) * step_ms, f"engine-{n}", f"engine-{size.runners + n}")
        for n in range(replaced)
    ]
