"""The operator's configuration (desired state), decoded and complete."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.route import Route  # noqa: TC001 - msgspec reads it


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
    """Whether callers must send an API key, because the state lists teams."""
    limits: CallerLimits
    pools: tuple[PoolLimits, ...] = ()

    def pool_priorities(self) -> dict[str, tuple[int, ...]]:
        """Return the distinct priorities of the routes to each pool, in order."""
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            for entry in route.pools:
                priorities.setdefault(entry.pool, set()).add(route.priority)
        return {pool: tuple(sorted(found)) for pool, found in priorities.items()}
