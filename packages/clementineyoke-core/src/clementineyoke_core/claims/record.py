"""What the platform keeps of claims."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class ClaimState(IntEnum):
    """What became of a claim."""

    TAKEN = 0
    """Its holder may run, or have run, the request."""
    FINISHED = 1
    FREE = 2
    """Its holder did not run the request and never will."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A finished call's answer, small enough to keep for a repeat."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a key since when, and the answer once there is one."""

    holder: str
    """Unique to one request at one node's incarnation; never used again."""
    request_digest: str
    claimed_at_ms: int
    """Wall clock of the home that wrote it."""
    state: ClaimState = ClaimState.TAKEN
    answer: StoredAnswer | None = None
    """None though finished: the answer was too large to keep."""
