"""Runners that probably have a prompt cached, from the responses this node has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner

HOLDER_TTL_MS = 20_000.0
"""How long a runner is assumed to have a prompt cached. After that, other prompts may
have evicted it."""
MAX_PROMPTS = 4_096
"""Remembered prompts, 0.7 MB in all; a full table is cleared."""


class _Holder(NamedTuple):
    runner: Runner
    answered_ms: float


class PromptHolders:
    """Remember which runner has a prompt cached, so that others can fetch it.

    The hash ring's order of runners says where a prompt should be cached, not where it
    is. A runner that joins is first in the order of prompts that it has never read. If
    prompts were fetched in ring order, they would be computed again while the runner
    that has them cached is not asked.
    """

    def __init__(self) -> None:
        self._holders: dict[int, _Holder] = {}

    def record_answer(self, key: int, runner: Runner, *, now_ms: float) -> None:
        """Record that a runner has started to answer a call with a prompt."""
        if len(self._holders) >= MAX_PROMPTS:
            self._holders.clear()
        self._holders[key] = _Holder(runner, now_ms)

    def last_holder(self, key: int, *, now_ms: float) -> Runner | None:
        """Return the runner that answered last; None if its entry has expired."""
        holder = self._holders.get(key)
        if holder is None or now_ms - holder.answered_ms > HOLDER_TTL_MS:
            return None
        return holder.runner
