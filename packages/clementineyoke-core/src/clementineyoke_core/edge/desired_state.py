"""What the operator wants to be in force, decoded and whole."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.route import Route  # noqa: TC001 - msgspec reads it


class Team(NamedTuple):
    """A customer of the operator and the keys of its callers."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Goes before the route's priority; None leaves that in force."""


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class PoolLimits(NamedTuple):
    """What the operator says of a pool's runners."""

    pool: str
    cold_ms: float
    """How long a runner is cold after its start."""
    cold_calls_per_s: float
    """Calls a second that a cold one bears; 0 for no limit."""


class DesiredState(NamedTuple):
    """One accepted configuration."""

    revision: int
    """The store's revision of it: the larger one is the newer."""
    version: int
    """The operator's own number for it."""
    routes: tuple[Route, ...]
    teams: tuple[Team, ...]
    needs_key: bool
    """Whether callers must show a key: the state names teams."""
    limits: CallerLimits
    pools: tuple[PoolLimits, ...] = ()
