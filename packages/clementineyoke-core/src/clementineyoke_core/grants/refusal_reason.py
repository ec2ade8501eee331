"""Reasons for which a home node refuses a slot."""

from __future__ import annotations

from enum import IntEnum


class RefusalReason(IntEnum):
    """Reason of a refusal, with its number in messages between nodes."""

    LOAD = 0
    """The runner is at its load bound."""
    PAUSED = 1
    """The runner is paused after failed calls."""
    COLD = 2
    """The runner has recently started and gets its next call later."""
    PRIORITY = 3
    """The remaining slots are reserved for more urgent calls."""
    MEMORY = 4
    """The call does not fit in the runner's free memory."""
    PREFILL = 5
    """Too many prompt tokens are waiting to be processed on the runner."""
    SPEED = 6
    """The runner is too slow at the moment for the call's objective."""

    BRITTLE = 7
    """The runner may have to reject the call, and fails after too many of these."""

    @property
    def is_held(self) -> bool:
        """Return whether the runner is held back for another reason than its load."""
        return self in (
            RefusalReason.PAUSED,
            RefusalReason.COLD,
            RefusalReason.SPEED,
        )

    @property
    def allows_last_resort(self) -> bool:
        """Return whether a last-resort request may be granted after this refusal."""
        return self not in (RefusalReason.MEMORY, RefusalReason.BRITTLE)

    @property
    def label(self) -> str:
        """Return the name used in logs and metrics."""
        return self.name.lower()
