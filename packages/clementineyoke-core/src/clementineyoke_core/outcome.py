"""What a caller may be told of its request when no runner's answer came."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Whether a request ran; nothing in between is ever claimed."""

    NOT_RUN = "not_run"
    """It did not run and will not: the caller may send it again."""
    RAN = "ran"
    """It ran, though its answer is no longer there."""
    UNKNOWN = "unknown"
    """It may have run."""
