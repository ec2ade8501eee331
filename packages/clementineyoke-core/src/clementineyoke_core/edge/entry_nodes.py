"""Selection of the entry nodes, the nodes that callers are told to connect to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.hashing import hash_text
from clementineyoke_core.steering import spread_over_zones

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.node import Node

MAX_ENTRY_NODES = 64
"""Callers read no more addresses than this from a response."""
MIN_ENTRY_NODES = 4
"""With fewer nodes, the loss of one host would break more than a quarter of the
streams."""
TARGET_ENTRY_NODES = 16
"""Number of nodes listed even if fewer can take the load, so that each loss of a few
hosts affects about the same share of callers."""
HEADROOM_FACTOR = 3.0
"""Multiple of the current call rate that the listed nodes must sustain. Bursts reach
twice the usual rate, and after the loss of a third of the nodes the rest take over."""


def choose_entry_nodes(nodes: Iterable[Node], *, calls_per_s: float) -> list[Node]:
    """Return the entry nodes for the given call rate of the whole fleet.

    Callers choose uniformly among the listed addresses, so the weakest listed host
    limits the capacity of the whole list. If all nodes of a fleet of unequal hosts were
    listed, most calls would go to small hosts. Each of these gets too few calls to keep
    its connections to runners open or to notice that a runner has failed, and after a
    power failure callers wait for the hosts that start most slowly. The list therefore
    has the strongest class of hosts that sustains the load.

    The selection depends only on what the nodes report of themselves, so that all nodes
    list the same ones, and the loss of one node changes one place of the list.
    """
    ranked = sorted(nodes, key=lambda node: hash_text(node.node_id))
    strongest: list[Node] = []
    max_capacity_per_s = -1
    for min_per_s in sorted({node.calls_per_s for node in ranked}, reverse=True):
        eligible = [node for node in ranked if node.calls_per_s >= min_per_s]
        capacity_per_s = min_per_s * min(len(eligible), MAX_ENTRY_NODES)
        if (
            len(eligible) >= MIN_ENTRY_NODES
            and capacity_per_s >= HEADROOM_FACTOR * calls_per_s
        ):
            needed = math.ceil(HEADROOM_FACTOR * calls_per_s / max(1, min_per_s))
            return spread_over_zones(eligible)[: max(needed, TARGET_ENTRY_NODES)]
        if capacity_per_s > max_capacity_per_s:
            strongest, max_capacity_per_s = eligible, capacity_per_s
    return spread_over_zones(strongest)[:MAX_ENTRY_NODES]
