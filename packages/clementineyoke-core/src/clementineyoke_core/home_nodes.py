"""Which node is home of what, derived by each node from its own membership view."""

from __future__ import annotations

from itertools import islice

from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text


class HomeNodes:
    """Give each name (of a team's budget, a claim shard) one home among the nodes.

    Two nodes whose views differ for seconds may name two homes. That is harmless by
    design: a budget's home is at worst doubled for a moment, claims are fenced by the
    platform's object version.
    """

    def __init__(self) -> None:
        self._ring = HashRing()
        self._cache: dict[str, str | None] = {}

    def set_nodes(self, node_ids: list[str]) -> bool:
        """Take the nodes now believed alive; return whether homes may have moved."""
        changed = self._ring.set_members(node_ids)
        if changed:
            self._cache.clear()
        return changed

    def home_of(self, name: str) -> str | None:
        """Return the node that is home of a name, or None with no nodes."""
        if name not in self._cache:
            self._cache[name] = self._ring.first(hash_text(name))
        return self._cache[name]

    def homes_of(self, key: int, *, max_nodes: int) -> list[str]:
        """Return the nodes that are homes of a 64-bit key, the first one first."""
        return list(islice(self._ring.order(key), max_nodes))
