"""Simulated runners with bounded caches and delayed load reports."""

from __future__ import annotations

from collections import OrderedDict

REPORT_INTERVAL_MS = 500.0
REPORT_LAG_MS = 500.0


class World:
    """True loads and caches of all runners; reported loads are out of date."""

    def __init__(self, *, runner_ids: list[str], slots: int, cache_chats: int) -> None:
        self.slots = slots
        self._cache_chats = cache_chats
        self.loads: dict[str, int] = dict.fromkeys(runner_ids, 0)
        self._caches: dict[str, OrderedDict[str, None]] = {
            runner_id: OrderedDict() for runner_id in runner_ids
        }
        self._reports: list[tuple[float, dict[str, int]]] = [(0.0, dict(self.loads))]

    def mean_load(self) -> float:
        """Return the current mean load over all runners."""
        return sum(self.loads.values()) / max(1, len(self.loads))

    def begin(self, runner_id: str, chat: str) -> bool:
        """Begin a request; return whether the runner had the chat's context cached."""
        self.loads[runner_id] += 1
        cache = self._caches[runner_id]
        hit = chat in cache
        cache[chat] = None
        cache.move_to_end(chat)
        if len(cache) > self._cache_chats:
            cache.popitem(last=False)
        return hit

    def end(self, runner_id: str) -> None:
        """End a request; does nothing if the runner has been replaced."""
        if runner_id in self.loads:
            self.loads[runner_id] -= 1

    def is_cached(self, chat: str) -> bool:
        """Return whether any runner has the chat's context cached."""
        return any(chat in cache for cache in self._caches.values())

    def replace(self, removed_id: str, added_id: str) -> None:
        """Remove a runner and add one with an empty cache."""
        del self.loads[removed_id]
        del self._caches[removed_id]
        self.loads[added_id] = 0
        self._caches[added_id] = OrderedDict()

    def record_report(self, now_ms: float) -> None:
        """Record the current loads as a report that arrives after ``REPORT_LAG_MS``."""
        self._reports.append((now_ms, dict(self.loads)))

    def reported_loads(self, now_ms: float) -> dict[str, int]:
        """Return the loads of the newest report that has arrived by ``now_ms``."""
        while len(self._reports) > 1 and self._reports[1][0] + REPORT_LAG_MS <= now_ms:
            self._reports.pop(0)
        return self._reports[0][1]
