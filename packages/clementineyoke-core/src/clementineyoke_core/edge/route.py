"""One route of the desired state."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.call_kind import CallKind


class WeightedPool(NamedTuple):
    """A pool of runners and its share of a route's calls."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Which calls it takes, where they go and what may be done for them."""

    name: str
    hostname: str
    path_prefix: str
    """Begins and ends with a slash."""
    kind: CallKind
    pools: tuple[WeightedPool, ...]
    timeout_ms: float
    """The operator's limit from a call's arrival to the end of its answer."""
    objective_ms: float
    """Time to the whole answer, or to a stream's first event, that counts as good."""
    pause_objective_ms: float
    """Longest pause between a stream's events that counts as good; 0 without one."""
    priority: int
    """0 is the most urgent."""
    max_runners: int
    """To how many runners one call may be sent."""
    is_public: bool
    """Whether calls need no key."""
    is_resumable: bool
    """Whether a broken stream may go on at another runner."""
    has_prompt: bool
    """Whether calls carry prompt parts that runners cache."""

    @property
    def may_repeat(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.IDEMPOTENT
