"""The operator's configuration (desired state), decoded and complete."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.route import Route  # noqa: TC001 - msgspec reads it

MAX_CLASSES = 10
"""Priority classes of a pool, as runners know ten degrees of urgency. Less urgent ones
share the last class."""


class PriorityClass(NamedTuple):
    """Urgency of a call; a smaller one is more urgent."""

    priority: int
    """The team's priority, or the route's if the team has none."""
    route_priority: int

    @classmethod
    def of(cls, route_priority: int, team_priority: int | None) -> PriorityClass:
        """Return the class of calls by a route of a team with a priority, or None."""
        priority = route_priority if team_priority is None else team_priority
        return cls(priority, route_priority)


class Team(NamedTuple):
    """A customer of the operator, with the API keys of its callers."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Overrides the route's priority; None keeps the route's priority."""


class CallerLimits(NamedTuple):
    """Limits on the size of callers' requests and on the time to receive them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class PoolLimits(NamedTuple):
    """Operator's limits for the runners of a pool."""

    pool: str
    cold_ms: float
    """How long a runner is cold after its start."""
    cold_calls_per_s: float
    """Maximum rate of calls to a cold runner; 0 for no limit."""
    memory_tokens: int = 0
    """Memory of each runner for prompts and outputs; 0 if the pool has no engines."""


class DesiredState(NamedTuple):
    """One accepted version of the configuration."""

    revision: int
    """Store revision; of two states the one with the higher revision is newer."""
    version: int
    """Version number given by the operator."""
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    needs_key: bool
    """Whether callers must send an API key, because the state has a list of teams."""
    limits: CallerLimits
    pools: tuple[PoolLimits, ...] = ()

    def priority_classes(self) -> dict[str, tuple[PriorityClass, ...]]:
        """Return the classes of calls to each pool, the most urgent one first.

        A team's priority takes precedence over the route's. Among calls of teams with
        the same priority, those of a route with a more urgent one come first.
        """
        team_priorities = {team.priority for team in self.teams} | {None}
        # A state has thousands of routes but few priorities.
        route_priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for entry in route.pools:
                route_priorities.setdefault(entry.pool, set()).add(route.priority)
        return {
            pool: _sort_classes(found, team_priorities)
            for pool, found in route_priorities.items()
        }


def _sort_classes(
    route_priorities: set[int], team_priorities: set[int | None]
) -> tuple[PriorityClass, ...]:
    classes = {
        PriorityClass.of(route_priority, team_priority)
        for route_priority in route_priorities
        for team_priority in team_priorities
    }
    return tuple(sorted(classes))[:MAX_CLASSES]
