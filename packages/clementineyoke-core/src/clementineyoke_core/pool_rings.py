"""One ring of runners for each pool of this node's region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.hash_ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from clementineyoke_core.runner_table import RunnerEntry, RunnerTable


class PoolRings:
    """Order a pool's ready runners for a key.

    Rings hold every listed runner; those that are unready or leaving are skipped on
    the walk, so that a quarantine of half a second moves no other chat.
    """

    def __init__(self, *, table: RunnerTable, region: str) -> None:
        self._table = table
        self._region = region
        self._rings: dict[str, HashRing] = {}

    def rebuild(self) -> None:
        """Take the table's runners; cheap when little has changed."""
        members: dict[str, list[str]] = {pool: [] for pool in self._rings}
        for entry in self._table.entries():
            if self._belongs(entry):
                pool = members.setdefault(entry.runner.pool, [])
                pool.append(entry.runner.runner_id)
        for pool_name, runner_ids in members.items():
            self._rings.setdefault(pool_name, HashRing()).set_members(runner_ids)

    def order(self, pool: str, key: int) -> Iterator[str]:
        """Yield the pool's ready runners, the best for the key first.

        With none ready the quarantined ones are yielded: when all have failed lately,
        a refusal of everything would outlast the failure by a quarantine's length.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return
        quarantined: list[str] = []
        found_ready = False
        for runner_id in ring.order(key):
            if self._table.is_ready(runner_id):
                found_ready = True
                yield runner_id
            elif self._table.is_last_resort(runner_id):
                quarantined.append(runner_id)
        if not found_ready:
            yield from quarantined

    def unavailable_before(
        self, pool: str, key: int, runner_id: str
    ) -> Iterator[tuple[str, str]]:
        """Yield who precedes a runner in a key's order and takes no calls, and why."""
        ring = self._rings.get(pool)
        if ring is None:
            return
        for other_id in ring.order(key):
            if other_id == runner_id:
                return
            why = self._table.unavailable_reason(other_id)
            if why is not None:
                yield other_id, why

    def cache_candidates(self, pool: str, key: int) -> Iterator[str]:
        """Yield who may hold what was cached by a key, the most likely first.

        Runners that are leaving, or whose zone is emptied, still answer for their
        caches, and before that they stood in the key's order as now.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return
        for runner_id in ring.order(key):
            if not self._table.is_quarantined(runner_id):
                yield runner_id

    def has_ready(self, pool: str, runner_id: str | None) -> bool:
        """Return whether a runner is of the pool in this region, and ready."""
        entry = None if runner_id is None else self._table.get(runner_id)
        if entry is None or entry.runner.pool != pool or not self._belongs(entry):
            return False
        return self._table.is_ready(entry.runner.runner_id)

    def size(self, pool: str) -> int:
        """Return how many runners the pool's ring holds."""
        ring = self._rings.get(pool)
        return 0 if ring is None else len(ring.members)

    def _belongs(self, entry: RunnerEntry) -> bool:
        return entry.runner.region == self._region
