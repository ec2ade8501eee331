"""Measures how long gossip takes to bring a settings version to every node."""

from __future__ import annotations

from random import Random

from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_standins.bench.bench_case import BenchCase

NODES = 410
WATCHERS = 22
"""Two for each of the eleven availability zones."""
WATCH_LAG_MS = 50.0
FETCH_MS = 50.0
"""Time to fetch and apply an announced version over HTTP between regions."""
INTERVAL_MS = 250.0
TRIALS = 5


def measure_spread(bounds: dict[str, float], *, seed: int) -> BenchCase:
    """Return the longest time of ``TRIALS`` changes, in virtual milliseconds."""
    worst_ms = max(_spread_once(Random(seed + trial)) for trial in range(TRIALS))
    name = "settings.in_force_ms"
    return BenchCase(
        name,
        "milliseconds until in force on every node, watchers' lag included",
        worst_ms,
        None,
        bounds.get(name),
        False,
        seed,
        f"{NODES} nodes, virtual time",
    )


def _spread_once(rng: Random) -> float:
    nodes = [
        Node(f"node-{n}", "127.0.0.1", 1, n, f"zone-{n % 11}", f"region-{n % 3}")
        for n in range(NODES)
    ]
    views = [Membership(local_node=node, incarnation=1, rng=rng) for node in nodes]
    for view in views:
        view.apply_host_list(live=nodes, leaving=[])
    index_of = {node.node_id: index for index, node in enumerate(nodes)}
    # The gossip timers of the nodes are not synchronized.
    phases = sorted((rng.random() * INTERVAL_MS, index) for index in range(NODES))
    in_force_at_ms = dict.fromkeys(rng.sample(range(NODES), WATCHERS), WATCH_LAG_MS)
    start_ms = 0.0
    while len(in_force_at_ms) < NODES:
        for phase_ms, index in phases:
            probed = views[index].next_probe()
            if probed is not None:
                pair = (index, index_of[probed.node_id])
                _exchange(in_force_at_ms, pair, start_ms + phase_ms)
        start_ms += INTERVAL_MS
    return max(in_force_at_ms.values())


def _exchange(
    in_force_at_ms: dict[int, float], pair: tuple[int, int], now_ms: float
) -> None:
    informed = [i for i in pair if in_force_at_ms.get(i, now_ms + 1) <= now_ms]
    for index in pair:
        if informed and index not in in_force_at_ms:
            in_force_at_ms[index] = now_ms + FETCH_MS
