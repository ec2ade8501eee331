"""Outcome reported to a caller whose request got no answer from a runner."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Whether a request ran."""

    NOT_RUN = "not_run"
    """It did not run and will not run; the caller may send it again."""
    RAN = "ran"
    """It ran, but its answer is no longer available."""
    UNKNOWN = "unknown"
    """It may have run."""
