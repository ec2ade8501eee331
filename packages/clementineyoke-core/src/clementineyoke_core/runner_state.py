"""The explicit states of a runner (paper, section 3: replacing binary health)."""

from __future__ import annotations

from enum import Enum


class RunnerState(Enum):
    """Whether a runner may get new work, and if not, why not."""

    READY = "ready"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
