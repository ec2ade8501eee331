"""Facts about the engines whose slots depend on the tokens of their calls."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Engine(NamedTuple):
    """One lifetime of an engine in a pool that accounts in tokens."""

    pool: str
    lifetime: str
    """Name of the lifetime; a restarted engine has another one and an empty cache."""
    memory_tokens: int
    """Memory for prompts and outputs, in tokens; above 0."""


class Engines(Protocol):
    """Look-up of the engines of pools that account in tokens."""

    def find(self, runner_id: str) -> Engine | None:
        """Return an engine, or None if its pool does not account in tokens."""

    def is_first(self, runner_id: str, key: int) -> bool:
        """Return whether a runner is the first of its pool in a key's order."""
