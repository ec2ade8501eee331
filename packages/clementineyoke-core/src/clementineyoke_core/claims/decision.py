"""What the home of a claim answers."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.claims.record import StoredAnswer


class ClaimVerdict(IntEnum):
    """The only answers to a claim."""

    GRANTED = 0
    """The claim is durable and this holder's: it may run the request once."""
    ANSWERED = 1
    """The key's request ran; the kept answer, if any, comes along."""
    UNKNOWN = 2
    """Another holder took the key and has not reported: it may have run."""
    MISMATCH = 3
    """The key was used for a different request."""
    UNAVAILABLE = 4
    """Nothing was written for this holder that could make it run."""


class ClaimDecision(NamedTuple):
    """A verdict, with the kept answer of a finished call."""

    verdict: ClaimVerdict
    answer: StoredAnswer | None = None
