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
MIN_HOLDERS_OF_ONE_VERSION = 1
"""Peers that keep it where the store tells the version as well."""
HOLDER_BYTES_PER_S = 2_000
"""Traffic for records up to which a node chooses more than the fewest holders."""
WRITER_BYTES_PER_S = 3_000
"""Traffic up to which a node that writes streams is told those of one version."""
NOTE_BYTES = 87
"""Size of a datagram with one note, headers included."""
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

    def told_nodes(
        self,
        key: int,
        *,
        notes_per_s: float,
        writers: Iterable[str],
        is_needed: bool,
        is_ambiguous: bool = False,
    ) -> list[Node]:
        """Return the nodes that are told of a stream.

        ``notes_per_s`` is this node's rate of streams, ``writers`` are the nodes that
        write streams to the store. ``is_needed`` tells whether the stream can only go
        on with its record; if not, the traffic of each node is bounded.
        """
        count = MAX_HOLDERS
        if not is_ambiguous:
            fewest = MIN_HOLDERS if is_needed else MIN_HOLDERS_OF_ONE_VERSION
            affordable = HOLDER_BYTES_PER_S / (max(1.0, notes_per_s) * NOTE_BYTES)
            count = min(MAX_HOLDERS, max(fewest, int(affordable)))
        holders = self.holders(key, count)
        received_bytes_per_s = notes_per_s * self._homes.node_count * NOTE_BYTES
        if not is_needed and received_bytes_per_s > WRITER_BYTES_PER_S:
            return holders
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
