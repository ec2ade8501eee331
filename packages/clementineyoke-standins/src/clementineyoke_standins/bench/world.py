"""The fakes that a policy meets: runners with a bounded cache, and lagging reports."""

from __future__ import annotations

from collections import OrderedDict

REPORT_EVERY_MS = 500.0
REPORT_LAG_MS = 500.0


class World:
    """True loads and caches; policies that look at reports see the past."""

    def __init__(self, *, runner_ids: list[str], slots: int, cache_chats: int) -> None:
        self.slots = slots
        self._cache_chats = cache_chats
        self.loads: dict[str, int] = dict.fromkeys(runner_ids, 0)
        self._caches: dict[str, OrderedDict[str, None]] = {
            runner_id: OrderedDict() for runner_id in runner_ids
        }
        self._reports: list[tuple[float, dict[str, int]]] = [(0.0, dict(self.loads))]

    def mean_load(self) -> float:
        """Return the true mean load."""
        return sum(self.loads.values()) / max(1, len(self.loads))

    def begin(self, runner_id: str, chat: str) -> bool:
        """Begin a request; return whether the chat's context was there."""
        self.loads[runner_id] += 1
        cache = self._caches[runner_id]
        hit = chat in cache
        cache[chat] = None
        cache.move_to_end(chat)
        if len(cache) > self._cache_chats:
            cache.popitem(last=False)
        return hit

    def end(self, runner_id: str) -> None:
        """End a request; a runner that has left is ignored."""
        if runner_id in self.loads:
            self.loads[runner_id] -= 1

    def is_held(self, chat: str) -> bool:
        """Tell whether any runner still holds a chat's context."""
        return any(chat in cache for cache in self._caches.values())

    def replace(self, gone: str, new: str) -> None:
        """Let a runner leave and another, empty one join."""
        del self.loads[gone]
        del self._caches[gone]
        self.loads[new] = 0
        self._caches[new] = OrderedDict()

    def report(self, now_ms: float) -> None:
        """Note the loads as runners report them."""
        self._reports.append((now_ms, dict(self.loads)))

    def reported(self, now_ms: float) -> dict[str, int]:
        """Return the newest report that has arrived by now."""
        while len(self._reports) > 1 and self._reports[1][0] + REPORT_LAG_MS <= now_ms:
            self._reports.pop(0)
        return self._reports[0][1]
