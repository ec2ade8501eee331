"""Chooses the nodes that keep the record of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node

MIN_HOLDERS = 3
MAX_HOLDERS = 8
"""Peers that keep the record of one stream, and that are asked for it."""
HOLDER_CANDIDATES = 3 * MAX_HOLDERS
"""Nodes among which the holders are chosen, so that they are in several zones."""


class StreamHolders:
    """Assign the records of streams to nodes of the region, this one excluded."""

    def __init__(self, *, homes: HomeNodes, membership: Membership) -> None:
        """Create the assignment; ``homes`` assigns keys to the nodes of the region."""
        self._homes = homes
        self._membership = membership

    def holders(self, key: int, count: int) -> list[Node]:
        """Return the peers that keep a stream's record, the first ones preferred."""
        own_id = self._membership.local_node.node_id
        names = self._homes.homes_of(key, max_nodes=HOLDER_CANDIDATES)
        nodes = [self._membership.node(name) for name in names if name != own_id]
        return _spread_over_zones([n for n in nodes if n is not None], count)

    def with_writers(self, holders: list[Node], writers: Iterable[str]) -> list[Node]:
        """Add the nodes that write the streams to the store."""
        known = {self._membership.local_node, *holders}
        nodes = map(self._membership.node, writers)
        return holders + [n for n in nodes if n is not None and n not in known]


def _spread_over_zones(nodes: Iterable[Node], count: int) -> list[Node]:
    """Return the first nodes, with the first one of each zone before all others."""
    first_of_zone: list[Node] = []
    others: list[Node] = []
    zones: set[str] = set()
    for node in nodes:
        is_first = node.availability_zone not in zones
        (first_of_zone if is_first else others).append(node)
        zones.add(node.availability_zone)
    return (first_of_zone + others)[:count]
