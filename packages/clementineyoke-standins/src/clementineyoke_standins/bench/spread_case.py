"""How long a settings version takes to reach every node, by gossip alone."""

from __future__ import annotations

from random import Random

from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_standins.bench.bench_case import BenchCase

NODES = 410
WATCHERS = 22
"""Two for each of eleven zones."""
WATCH_LAG_MS = 50.0
FETCH_MS = 50.0
"""From hearing of a version to having it in force, over HTTP between regions."""
INTERVAL_MS = 250.0
TRIALS = 5


def measure_spread(bounds: dict[str, float], *, seed: int) -> BenchCase:
    """Return the worst time over some changes, in virtual time."""
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
    # Each node's gossip ticks at its own phase.
    turns = sorted((rng.random() * INTERVAL_MS, index) for index in range(NODES))
    known_ms = dict.fromkeys(rng.sample(range(NODES), WATCHERS), WATCH_LAG_MS)
    start_ms = 0.0
    while len(known_ms) < NODES:
        for phase_ms, index in turns:
            probed = views[index].next_probe()
            if probed is not None:
                pair = (index, index_of[probed.node_id])
                _exchange(known_ms, pair, start_ms + phase_ms)
        start_ms += INTERVAL_MS
    return max(known_ms.values())


def _exchange(known_ms: dict[int, float], pair: tuple[int, int], now_ms: float) -> None:
    knowing = [i for i in pair if known_ms.get(i, now_ms + 1) <= now_ms]
    for index in pair:
        if knowing and index not in known_ms:
            known_ms[index] = now_ms + FETCH_MS
