"""The one hash that every node uses, so that all nodes agree without talking."""

from __future__ import annotations

import xxhash


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text; the same on every node and restart."""
    return xxhash.xxh3_64_intdigest(text.encode())
