"""Authentication of messages between nodes with shared, rotating keys."""

from __future__ import annotations

import hmac
from hashlib import blake2b

from clementineyoke_wire.wire_error import WireError

TAG_BYTES = 8
"""64 bits: a forged datagram passes with a probability of one in 10**19. Longer tags
would add to the size of each datagram."""


class MessageSigner:
    """Sign messages with the first key and accept any key.

    Keys can therefore be rotated without interruption.

    Replayed datagrams are accepted. Handling of messages is idempotent: slot requests
    and releases are counted per holder, claims by the unique name of their holder.
    """

    def __init__(self, *, keys: list[str]) -> None:
        if not keys:
            message = "at least one peer key is required"
            raise ValueError(message)
        self._keys = [blake2b(key.encode(), digest_size=32).digest() for key in keys]

    def sign(self, payload: bytes) -> bytes:
        """Return the payload prefixed with its authentication tag."""
        return self._tag(self._keys[0], payload) + payload

    def verify(self, datagram: bytes, *, peer: str) -> bytes:
        """Verify a message and return its payload.

        Raises ``WireError`` if its tag matches none of the keys.
        """
        tag, payload = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, self._tag(key, payload)):
                return payload
        raise WireError(step="open_seal", peer=peer, reason="no key fits the tag")

    def _tag(self, key: bytes, payload: bytes) -> bytes:
        return blake2b(payload, key=key, digest_size=TAG_BYTES).digest()
