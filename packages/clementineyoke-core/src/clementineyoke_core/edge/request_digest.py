"""The mark by which two calls can be told to ask for the same."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 16
"""Enough that no team can make up a call with the mark of another team's."""
LENGTH_BYTES = 8


def request_digest(*, team: str | None, method: str, target: str, body: bytes) -> bytes:
    """Return the mark of a call; the same on every node and after every restart.

    Who asks, for what and with which body decide. Ids, times and other headers differ
    between a call and its repeat, and say nothing of what a runner is to do.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in ((team or "").encode(), method.encode(), target.encode(), body):
        # With its length first no part can pass for the beginning of the next.
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
