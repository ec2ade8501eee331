"""Hash function shared by all nodes, so that they agree without communication."""

from __future__ import annotations

import xxhash


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text, the same on every node and after a restart."""
    return xxhash.xxh3_64_intdigest(text.encode())
