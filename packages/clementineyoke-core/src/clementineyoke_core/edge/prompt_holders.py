"""Which runner answered the calls of a prompt last, as this node saw it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner

TRUSTED_MS = 20_000.0
"""How long a runner is taken to hold a prompt that it has read: by then others may have
taken its place in the cache."""
MOST_PROMPTS = 4_096
"""Prompts that are remembered, 0.7 MB; after that all are learned anew."""


class _Holding(NamedTuple):
    runner: Runner
    at_ms: float


class PromptHolders:
    """Remember where prompts lie, for runners that are to fetch them from each other.

    The order of a prompt's runners tells where it should lie, not where it does. A
    runner that joins stands first in the order of prompts that it has never read.
    Fetched by that order they are read again, while the runner that has held them all
    along is not asked.
    """

    def __init__(self) -> None:
        self._holdings: dict[int, _Holding] = {}

    def record_answer(self, key: int, runner: Runner, *, now_ms: float) -> None:
        """Note that a runner has begun to answer a call of a prompt."""
        if len(self._holdings) >= MOST_PROMPTS:
            self._holdings.clear()
        self._holdings[key] = _Holding(runner, now_ms)

    def last_holder(self, key: int, *, now_ms: float) -> Runner | None:
        """Return the runner that answered last, unless that was long ago."""
        holding = self._holdings.get(key)
        if holding is None or now_ms - holding.at_ms > TRUSTED_MS:
            return None
        return holding.runner
