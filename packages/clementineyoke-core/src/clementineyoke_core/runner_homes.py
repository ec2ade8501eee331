"""Even assignment of runners to home nodes of the region."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MAX_SPREAD_FACTOR = 1.25
"""Limit per node, as a multiple of a pool's mean runners per node, rounded up."""


class RunnerHomes:
    """Assign each pool's runners to nodes by consistent hashing with bounded loads.

    Callers are steered to the home of their chat's runner. With plain hashing one of
    nine nodes was the home of three of six engines, and so got half of all chats and
    the most control traffic.
    """

    def __init__(self) -> None:
        self._ring = HashRing()
        self._homes: dict[str, str] = {}

    def reassign(
        self, *, nodes: Sequence[str], pools: Mapping[str, Sequence[str]]
    ) -> bool:
        """Assign all runners to the alive nodes; return whether any home moved."""
        self._ring.set_members(nodes)
        homes: dict[str, str] = {}
        for runner_ids in pools.values():
            homes.update(self._assign(runner_ids))
        changed = homes != self._homes
        self._homes = homes
        return changed

    def home_of(self, runner_id: str) -> str | None:
        """Return a runner's home, or None for an unknown runner or without nodes."""
        return self._homes.get(runner_id)

    def _assign(self, runner_ids: Sequence[str]) -> dict[str, str]:
        node_count = len(self._ring.members)
        if not node_count:
            return {}
        max_runners = math.ceil(len(runner_ids) / node_count * MAX_SPREAD_FACTOR)
        counts = dict.fromkeys(self._ring.members, 0)
        homes: dict[str, str] = {}
        # Sorted by hash, so that all nodes with the same view compute the same homes.
        for runner_id in sorted(runner_ids, key=hash_text):
            for node_id in self._ring.order(hash_text(runner_id)):
                if counts[node_id] < max_runners:
                    counts[node_id] += 1
                    homes[runner_id] = node_id
                    break
        return homes
