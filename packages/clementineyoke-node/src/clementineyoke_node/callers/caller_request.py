"""What the node knows of a caller's request before it routes it."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """An authenticated request with its bounds."""

    request_id: str
    team_path: str
    began_ms: float
    """Monotonic time at which the request's head was read."""
    deadline_ms: float
    """Monotonic time by which the whole answer must be there."""
    priority: int = 0
    queue_ms: int = 0
    """Longest wait for a slot."""
