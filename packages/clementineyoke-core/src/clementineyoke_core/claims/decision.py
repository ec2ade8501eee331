"""Decision of a claim's home node."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.claims.record import StoredAnswer


class ClaimVerdict(IntEnum):
    """Result of a claim."""

    GRANTED = 0
    """This holder's claim is durable; the holder may run the request once."""
    ANSWERED = 1
    """The key's request has run; the decision has the stored answer, if any."""
    UNKNOWN = 2
    """Another holder has claimed the key and not reported: the request may have run."""
    MISMATCH = 3
    """The key was used for a different request."""
    UNAVAILABLE = 4
    """No claim was granted, so the request does not run.

    If the home did not reply in time, it may have written the claim nevertheless.
    """


class ClaimDecision(NamedTuple):
    """A verdict, with the stored answer of a finished request."""

    verdict: ClaimVerdict
    answer: StoredAnswer | None = None
