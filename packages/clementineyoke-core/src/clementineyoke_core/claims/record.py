"""Claims as stored on the platform."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class ClaimState(IntEnum):
    """State of a claim."""

    TAKEN = 0
    """The holder may run, or may have run, the request."""
    FINISHED = 1
    FREE = 2
    """The holder did not run the request and will not run it."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer of a finished request, small enough to be stored for repeats."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Holder and state of a claimed key."""

    holder: str
    """Unique to one request at one incarnation of a node; never reused."""
    request_digest: str
    claimed_at_ms: int
    """Wall clock of the home that wrote the record."""
    state: ClaimState = ClaimState.TAKEN
    answer: StoredAnswer | None = None
    """None in a finished record if the answer was too large to store."""
