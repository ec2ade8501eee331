"""How long calls wait for the first desired state of a node that has just started."""

from __future__ import annotations

STARTUP_MS = 500.0
"""How long after its start a node expects the first state. A node that can reach the
store or peers has it within 20 ms. After twice the maximum wait it is unlikely to
arrive in time for a waiting call."""
MAX_WAIT_MS = 250.0
"""The shortest latency objectives are 300 ms; the rest is for the response itself."""
MAX_WAITING_CALLS = 256
"""At a mean body size of 18 kB, the largest of any kind of request, they use 4.6 MB."""


class StartupWait:
    """Let calls wait for a node's first state while it is expected soon.

    Without the wait, a node that has just started refuses its first calls with a
    Retry-After of 1 to 3 s although the state arrives 20 ms later, so callers are late
    by seconds after each restart. Once the state is overdue, calls are refused at once.
    """

    def __init__(self) -> None:
        self._started_ms = 0.0
        self._waiting = 0

    def record_start(self, *, now_ms: float) -> None:
        """Record the start of the node."""
        self._started_ms = now_ms

    def begin_wait(self, *, now_ms: float) -> float:
        """Return how long a call may wait; 0 if it must not wait.

        Each call must be followed by ``end_wait``, also after a result of 0.
        """
        self._waiting += 1
        if self._waiting > MAX_WAITING_CALLS:
            return 0.0
        remaining_ms = self._started_ms + STARTUP_MS - now_ms
        return max(0.0, min(MAX_WAIT_MS, remaining_ms))

    def end_wait(self) -> None:
        """Record that a call has stopped waiting."""
        self._waiting -= 1
