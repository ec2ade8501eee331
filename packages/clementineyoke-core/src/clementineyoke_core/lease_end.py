"""How the call that held a slot ended."""

from __future__ import annotations

from typing import NamedTuple


class LeaseEnd(NamedTuple):
    """What the holder of a slot tells the runner's home when it releases the slot."""

    is_answered: bool = False
    time_percent: int = 0
    """How long the answer took, in percent of the usual time; 0 if unknown."""
    is_rejected: bool = False
    """Whether the runner had no room for the call."""
    is_unused: bool = False
    """Whether the call was not sent to the runner."""


UNKNOWN_END = LeaseEnd()
