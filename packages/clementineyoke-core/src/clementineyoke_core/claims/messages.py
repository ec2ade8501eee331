"""What a shard's home is asked and told."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.claims.record import StoredAnswer


class ClaimAttempt(NamedTuple):
    """A request that wants to run once under a key."""

    key: str
    holder: str
    request_digest: str


class ClaimReport(NamedTuple):
    """What a holder says became of its claim."""

    key: str
    holder: str
    ran: bool
    answer: StoredAnswer | None = None
