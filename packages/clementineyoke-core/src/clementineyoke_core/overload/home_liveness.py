"""Whether a home node that did not reply in time is busy or has failed."""

from __future__ import annotations

REPLY_VALIDITY_MS = 1_000.0
"""How long a reply shows that a home is alive. A home that fails is bypassed after this
time at the latest; the fleet detects its failure no earlier."""
MAX_HOMES = 4_096
"""Homes with a recorded reply, ten times the design size; a full table is cleared."""


class HomeLiveness:
    """Tracks the last reply of each home node.

    In a surge homes reply late because they are busy. If each late reply counted as a
    failure, calls would go to the runners without a grant, and these would be
    overloaded although their homes still limit them.
    """

    def __init__(self) -> None:
        self._replied_at_ms: dict[str, float] = {}

    def record_reply(self, home_id: str, *, now_ms: float) -> None:
        """Record that a home replied to a request for a slot."""
        if len(self._replied_at_ms) >= MAX_HOMES:
            self._replied_at_ms.clear()
        self._replied_at_ms[home_id] = now_ms

    def is_busy(self, home_id: str, *, now_ms: float) -> bool:
        """Return whether a home that is late has replied recently."""
        replied_at_ms = self._replied_at_ms.get(home_id)
        return replied_at_ms is not None and now_ms - replied_at_ms < REPLY_VALIDITY_MS
