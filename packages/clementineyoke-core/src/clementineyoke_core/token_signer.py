"""Signed tokens that callers keep for the fleet and cannot forge."""

from __future__ import annotations

import hmac
from hashlib import blake2b

TAG_BYTES = 8
MAX_TOKEN_CHARACTERS = 200


class TokenSigner:
    """Sign with the first key and accept any key, so that keys can be rotated."""

    def __init__(self, *, keys: list[str]) -> None:
        self._keys = [blake2b(key.encode(), digest_size=32).digest() for key in keys]

    def sign(self, scope: str, value: str) -> str:
        """Return a token that contains a value and is valid only for the scope."""
        return f"{value}:{self._tag(self._keys[0], scope, value)}"

    def read(self, scope: str, token: str) -> str | None:
        """Return a token's value, or None if no key signed it for the scope."""
        value, _, tag = token.rpartition(":")
        if not value or len(token) > MAX_TOKEN_CHARACTERS or not token.isascii():
            return None
        for key in self._keys:
            if hmac.compare_digest(tag, self._tag(key, scope, value)):
                return value
        return None

    def _tag(self, key: bytes, scope: str, value: str) -> str:
        text = f"{scope}\0{value}"
        return blake2b(text.encode(), key=key, digest_size=TAG_BYTES).hexdigest()
