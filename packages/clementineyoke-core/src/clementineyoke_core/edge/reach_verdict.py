"""What a node knows of its path to a runner."""

from __future__ import annotations

from enum import IntEnum


class ReachVerdict(IntEnum):
    """Result of an attempt to connect to a runner; the values are used on the wire."""

    UNKNOWN = 0
    """The node reaches no runner of the pool, or did not reply."""
    REACHED = 1
    UNREACHABLE = 2
    """The node does not reach the runner, but others of its pool."""
