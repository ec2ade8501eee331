"""Claims and reports that are sent to the home node of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.claims.record import StoredAnswer


class ClaimAttempt(NamedTuple):
    """Attempt to claim a key for a request that must run once."""

    key: str
    holder: str
    request_digest: str


class ClaimReport(NamedTuple):
    """A holder's report on whether the request of its claim ran."""

    key: str
    holder: str
    ran: bool
    answer: StoredAnswer | None = None
