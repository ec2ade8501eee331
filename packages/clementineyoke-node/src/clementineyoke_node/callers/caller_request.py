"""A caller's request as it is known before routing."""

from __future__ import annotations

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """An authenticated request with its limits."""

    request_id: str
    team_path: str
    received_ms: float
    """Monotonic time at which the request's head was read."""
    deadline_ms: float
    """Monotonic time by which the response must be complete."""
    priority: int = 0
    queue_ms: int = 0
    """Maximum wait for a slot, in milliseconds."""
