"""What a runner reports about its load and its speed."""

from __future__ import annotations

from typing import NamedTuple


class SpeedReport(NamedTuple):
    """A runner's report of its load and its speed at one moment."""

    running: int
    """Calls that the runner executes."""
    waiting: int
    """Calls that wait in the runner."""
    slots: int
    slowdown_percent: int
    """How long work takes now; 100 means as usual, 250 means 2.5 times as long."""
