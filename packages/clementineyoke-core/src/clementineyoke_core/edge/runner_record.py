"""A runner's own entry in the store."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.runner import Runner  # noqa: TC001 - msgspec reads it


class RunnerRecord(NamedTuple):
    """What a runner says of itself, and as of which revision."""

    runner: Runner
    is_leaving: bool
    revision: int
    cold_ms: float = 0.0
    """How much longer it is cold, from when it is heard."""
