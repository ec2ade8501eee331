"""Why a stream that has begun could not go on."""

from __future__ import annotations

from enum import Enum


class CutCause(Enum):
    """What kept a call from another runner."""

    NO_TIME = "no_time"
    """The call's deadline has passed."""
    RUNNERS_USED = "runners_used"
    """The call may not be repeated, or not be sent to another runner."""
    CRASHES_RUNNERS = "crashes_runners"
    RETRY_BUDGET = "retry_budget"
    NO_SLOT = "no_slot"
    NO_PEER = "no_peer"
    """Neither this node nor a peer reaches a runner."""
    PEER_FAILED = "peer_failed"
    """A peer that had the call did not complete it."""
