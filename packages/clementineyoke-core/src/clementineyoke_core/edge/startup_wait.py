"""How long calls wait for the first desired state of a node that has just started."""

from __future__ import annotations

START_MS = 500.0
"""After its start a node whose store or peers are well has a state within 20 ms. This
is twice the longest wait: what has not come by then will hardly come in time."""
LONGEST_WAIT_MS = 250.0
"""What is left of the shortest objectives (300 ms) is for the answer itself."""
MOST_WAITING = 256
"""Calls that wait at once: with bodies of 18 kB, the largest mean of a kind of request
that was seen, 4.6 MB."""


class StartupWait:
    """Let calls wait for a node's first state, while it can be expected.

    A node that has just started refused what came in its first moment with a time to
    return of 1 to 3 s, though the state was there 20 ms later: seen as callers that are
    late by seconds after each restart. Once the state is overdue there is nothing to
    wait for, and callers are told at once.
    """

    def __init__(self) -> None:
        self._started_ms = 0.0
        self._waiting = 0

    def record_start(self, *, now_ms: float) -> None:
        """Note the node's start."""
        self._started_ms = now_ms

    def begin_wait(self, *, now_ms: float) -> float:
        """Return how long a call may wait, 0 for not at all; ``leave`` follows."""
        self._waiting += 1
        if self._waiting > MOST_WAITING:
            return 0.0
        left_ms = self._started_ms + START_MS - now_ms
        return max(0.0, min(LONGEST_WAIT_MS, left_ms))

    def end_wait(self) -> None:
        """Note that a call waits no longer."""
        self._waiting -= 1
