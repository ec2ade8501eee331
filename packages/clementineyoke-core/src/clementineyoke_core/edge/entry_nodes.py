"""Which nodes callers are told to connect to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.hashing import hash_text
from clementineyoke_core.steering import spread_over_zones

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.node import Node

MOST_NAMED = 64
"""What callers read of an answer."""
FEWEST_NAMED = 4
"""With fewer, the loss of one host would break more than a quarter of all streams."""
ENOUGH_NAMED = 16
"""Named even when fewer bear the calls: a loss of some hosts then takes about the same
share of callers each time."""
HEADROOM = 3.0
"""Multiple of today's calls that the named nodes must bear: callers come in bursts of
twice their usual number, and go on with the rest when a third of the nodes is lost."""


def choose_entry_nodes(nodes: Iterable[Node], *, calls_per_s: float) -> list[Node]:
    """Return the nodes to name, given the calls a second of the whole fleet.

    Callers take any address of the answer with equal chances, so the weakest host
    named bounds what all of them bear. Naming every node of a fleet of unequal hosts
    gives most calls to small ones: each sees too few calls to keep its connections to
    runners, or to notice that one has failed, and after a loss of power callers wait
    for the slowest starts. Named is the strongest class of hosts that bears the calls.

    The choice depends on nothing but what nodes say of themselves, so that all nodes
    name the same ones, and the loss of one changes one place.
    """
    ranked = sorted(nodes, key=lambda node: hash_text(node.node_id))
    strongest: list[Node] = []
    most_per_s = -1
    for least_per_s in sorted({node.calls_per_s for node in ranked}, reverse=True):
        able = [node for node in ranked if node.calls_per_s >= least_per_s]
        borne_per_s = least_per_s * min(len(able), MOST_NAMED)
        if len(able) >= FEWEST_NAMED and borne_per_s >= HEADROOM * calls_per_s:
            wanted = math.ceil(HEADROOM * calls_per_s / max(1, least_per_s))
            return spread_over_zones(able)[: max(wanted, ENOUGH_NAMED)]
        if borne_per_s > most_per_s:
            strongest, most_per_s = able, borne_per_s
    return spread_over_zones(strongest)[:MOST_NAMED]
