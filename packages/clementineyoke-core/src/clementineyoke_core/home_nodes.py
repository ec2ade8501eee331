"""Home node of each name, computed by each node from its own membership view."""

from __future__ import annotations

from itertools import islice

from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text


class HomeNodes:
    """Assign one home node to each name, such as a team's budget or a claim shard.

    Nodes whose views differ may name two homes for some seconds. This is safe: a team's
    budget is at worst available twice for that time, and writes of claims are fenced by
    the platform's object version.
    """

    def __init__(self) -> None:
        self._ring = HashRing()
        self._cache: dict[str, str | None] = {}
        self.node_count = 0

    def set_nodes(self, node_ids: list[str]) -> bool:
        """Set the nodes that are alive; return whether homes may have moved."""
        changed = self._ring.set_members(node_ids)
        self.node_count = len(node_ids)
        if changed:
            self._cache.clear()
        return changed

    def home_of(self, name: str) -> str | None:
        """Return the home node of a name, or None without nodes."""
        if name not in self._cache:
            self._cache[name] = self._ring.first(hash_text(name))
        return self._cache[name]

    def homes_of(self, key: int, *, max_nodes: int) -> list[str]:
        """Return the home nodes of a 64-bit key, the primary one first."""
        return list(islice(self._ring.order(key), max_nodes))
