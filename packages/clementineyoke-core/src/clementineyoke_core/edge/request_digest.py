"""Digest by which repeated requests are recognized."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
"""Long enough that no team can construct a call with the digest of another team's."""
LENGTH_BYTES = 8


def request_digest(*, team: str | None, method: str, target: str, body: bytes) -> bytes:
    """Return the digest of a request; the same on every node and after every restart.

    It covers team, method, target and body. Ids, times and other headers differ between
    a request and its repeats, and do not determine what a runner does.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in ((team or "").encode(), method.encode(), target.encode(), body):
        # The length prefix keeps the parts apart: "ab" + "c" differs from "a" + "bc".
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
