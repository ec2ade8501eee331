"""Routes of the desired state."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.call_kind import CallKind


class WeightedPool(NamedTuple):
    """A pool of runners and its share of a route's calls."""

    pool: str
    weight: float


class Route(NamedTuple):
    """A route: the calls it matches, the pools that serve them, and their limits."""

    name: str
    hostname: str
    path_prefix: str
    """Path prefix; it begins and ends with a slash."""
    kind: CallKind
    pools: tuple[WeightedPool, ...]
    timeout_ms: float
    """Operator's limit on the time from a call's arrival to the end of its response."""
    objective_ms: float
    """Latency objective for the complete response or a stream's first event."""
    pause_objective_ms: float
    """Objective for the gap between a stream's events; 0 if there is none."""
    priority: int
    """Priority of the calls; 0 is the most urgent."""
    max_runners: int
    """Number of runners to which one call may be sent."""
    is_public: bool
    """Whether calls need no API key."""
    is_resumable: bool
    """Whether a broken stream may be continued by another runner."""
    has_prompt: bool
    """Whether calls carry prompt parts that runners cache."""

    @property
    def may_repeat(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT
