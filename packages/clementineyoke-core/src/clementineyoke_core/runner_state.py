"""States of a runner, more detailed than healthy or unhealthy."""

from __future__ import annotations

from enum import Enum


class RunnerState(Enum):
    """Whether a runner may get new work, and otherwise the reason."""

    READY = "ready"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
