"""Shared parts of prompts that an engine probably has in its cache."""

from __future__ import annotations

from collections import OrderedDict

MAX_PROMPTS = 4_096
"""Bounds the table of a runner whose prompts are short; 0.5 MB."""


class CachedPrompts:
    """Remember the prompts granted last, as many as fit in the engine's memory."""

    def __init__(self, *, max_prompts: int = MAX_PROMPTS) -> None:
        self._max_prompts = max_prompts
        self._tokens: OrderedDict[int, int] = OrderedDict()
        self._total_tokens = 0

    def __contains__(self, key: int) -> bool:
        return key in self._tokens

    def __len__(self) -> int:
        return len(self._tokens)

    def record(self, key: int, *, tokens: int, memory_tokens: int) -> None:
        """Record the use of a prompt, and forget those used longest ago."""
        self._total_tokens += tokens - self._tokens.pop(key, 0)
        self._tokens[key] = tokens
        while self._tokens and (
            self._total_tokens > memory_tokens or len(self._tokens) > self._max_prompts
        ):
            _, evicted_tokens = self._tokens.popitem(last=False)
            self._total_tokens -= evicted_tokens
