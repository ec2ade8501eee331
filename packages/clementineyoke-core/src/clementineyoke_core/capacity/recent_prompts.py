"""Prompts that the runners of a home probably have in their caches."""

from __future__ import annotations

from typing import NamedTuple

CACHED_MS = 20_000.0
"""How long a prompt is assumed to stay cached after its last use."""
MAX_PROMPTS = 256
"""Prompts remembered for each runner; the one used longest ago is dropped."""


class _Prompts(NamedTuple):
    known_since_ms: float
    """Time from which the prompts of all calls are known."""
    used_ms: dict[int, float]
    """Time of the last grant by prompt key, in the order of that time."""


class RecentPrompts:
    """Remember the shared parts of prompts that were granted on each runner."""

    def __init__(self) -> None:
        self._prompts: dict[str, _Prompts] = {}

    def record(self, runner_id: str, key: int, *, now_ms: float) -> None:
        """Record that a call with a prompt was granted; key 0 means no prompt."""
        prompts = self._prompts.get(runner_id)
        if prompts is None:
            prompts = self._prompts[runner_id] = _Prompts(now_ms, {})
        if not key:
            return
        prompts.used_ms.pop(key, None)
        prompts.used_ms[key] = now_ms
        if len(prompts.used_ms) > MAX_PROMPTS:
            del prompts.used_ms[next(iter(prompts.used_ms))]

    def record_unknown(self, runner_id: str, *, now_ms: float) -> None:
        """Record that a call was granted whose prompt is not known."""
        prompts = self._prompts.get(runner_id)
        used_ms = {} if prompts is None else prompts.used_ms
        self._prompts[runner_id] = _Prompts(now_ms, used_ms)

    def may_have(self, runner_id: str, key: int, *, now_ms: float) -> bool:
        """Return whether a runner may have the shared parts of a prompt.

        A home that has known all calls on the runner only for a short time does not
        know the prompts granted before, and assumes that each is cached.
        """
        prompts = self._prompts.get(runner_id)
        if prompts is None or now_ms - prompts.known_since_ms < CACHED_MS:
            return True
        used_ms = prompts.used_ms.get(key)
        return used_ms is not None and now_ms - used_ms <= CACHED_MS

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner that restarted, left or moved to another home."""
        self._prompts.pop(runner_id, None)
