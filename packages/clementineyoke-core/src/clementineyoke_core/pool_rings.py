"""Consistent-hash ring of runners for each pool of this node's region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.hash_ring import HashRing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from clementineyoke_core.runner_table import RunnerEntry, RunnerTable


class PoolRings:
    """Order a pool's ready runners for a key.

    A ring has every listed runner, and the order skips those that are leaving or
    otherwise not ready. A quarantine of half a second thus moves no chats of other
    runners.
    """

    def __init__(self, *, table: RunnerTable, region: str) -> None:
        self._table = table
        self._region = region
        self._rings: dict[str, HashRing] = {}

    def rebuild(self) -> None:
        """Update the rings from the runner table; cheap if little has changed."""
        members: dict[str, list[str]] = {pool: [] for pool in self._rings}
        for entry in self._table.entries():
            if self._is_in_region(entry):
                pool = members.setdefault(entry.runner.pool, [])
                pool.append(entry.runner.runner_id)
        for pool_name, runner_ids in members.items():
            self._rings.setdefault(pool_name, HashRing()).set_members(runner_ids)

    def order(
        self, pool: str, key: int, *, version: str | None = None
    ) -> Iterator[str]:
        """Yield the pool's ready runners in the order of the key.

        With ``version`` these are only the runners of that software version.

        If none is ready, the quarantined ones are yielded: after a failure of all
        runners, refusing every call would prolong the outage by a quarantine.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return
        quarantined: list[str] = []
        found_ready = False
        for runner_id in ring.order(key):
            if version is not None and not self._table.has_version(runner_id, version):
                continue
            if self._table.is_ready(runner_id):
                found_ready = True
                yield runner_id
            elif self._table.may_use_quarantined(runner_id):
                quarantined.append(runner_id)
        if not found_ready:
            yield from quarantined

    def unavailable_before(
        self, pool: str, key: int, runner_id: str
    ) -> Iterator[tuple[str, str]]:
        """Yield the draining or backed off runners before one in a key's order.

        Each comes with its reason, ``draining`` or ``backoff``.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return
        for other_id in ring.order(key):
            if other_id == runner_id:
                return
            reason = self._table.unavailable_reason(other_id)
            if reason is not None:
                yield other_id, reason

    def cache_candidates(self, pool: str, key: int) -> Iterator[str]:
        """Yield the runners that may have cached a key's context, most likely first.

        Includes runners that are leaving or in an evacuated zone: they still serve
        their caches, and their position in the key's order is unchanged.
        """
        ring = self._rings.get(pool)
        if ring is None:
            return
        for runner_id in ring.order(key):
            if not self._table.is_quarantined(runner_id):
                yield runner_id

    def has_ready(self, pool: str, runner_id: str | None) -> bool:
        """Return whether a runner is ready and in the pool of this region."""
        entry = None if runner_id is None else self._table.get(runner_id)
        if entry is None or entry.runner.pool != pool or not self._is_in_region(entry):
            return False
        return self._table.is_ready(entry.runner.runner_id)

    def size(self, pool: str) -> int:
        """Return the number of runners on the pool's ring."""
        ring = self._rings.get(pool)
        return 0 if ring is None else len(ring.members)

    def _is_in_region(self, entry: RunnerEntry) -> bool:
        return entry.runner.region == self._region
