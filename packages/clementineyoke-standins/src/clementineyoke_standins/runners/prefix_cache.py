"""Bounded prefix cache like that of a model engine."""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Caches the last prompt of each chat, with least recently used eviction."""

    def __init__(self, *, capacity_characters: int) -> None:
        self._capacity = capacity_characters
        self._prompts: OrderedDict[str, str] = OrderedDict()
        self._size = 0

    def use(self, name: str, prompt: str) -> int:
        """Cache the whole prompt; return how many leading characters were cached."""
        previous = self._prompts.pop(name, "")
        self._size -= len(previous)
        cached = len(previous) if previous and prompt.startswith(previous) else 0
        self._prompts[name] = prompt
        self._size += len(prompt)
        while self._size > self._capacity and len(self._prompts) > 1:
            _, evicted = self._prompts.popitem(last=False)
            self._size -= len(evicted)
        return cached
