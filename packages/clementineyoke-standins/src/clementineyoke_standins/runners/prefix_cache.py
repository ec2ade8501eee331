"""A bounded prefix cache, as engines keep one."""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Remember the longest prompt seen of each chat, the least used go first."""

    def __init__(self, *, capacity_characters: int) -> None:
        self._capacity = capacity_characters
        self._held: OrderedDict[str, str] = OrderedDict()
        self._size = 0

    def use(self, name: str, prompt: str) -> int:
        """Return how many characters of a prompt were cached, and cache it all."""
        known = self._held.pop(name, "")
        self._size -= len(known)
        cached = len(known) if known and prompt.startswith(known) else 0
        self._held[name] = prompt
        self._size += len(prompt)
        while self._size > self._capacity and len(self._held) > 1:
            _, dropped = self._held.popitem(last=False)
            self._size -= len(dropped)
        return cached
