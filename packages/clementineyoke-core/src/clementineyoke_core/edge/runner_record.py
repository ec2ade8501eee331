"""Decoded entry that a runner writes to the store."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.runner import Runner  # noqa: TC001 - msgspec reads it


class RunnerRecord(NamedTuple):
    """A runner as described by its own entry, with the entry's store revision."""

    runner: Runner
    is_leaving: bool
    revision: int
    cold_ms: float = 0.0
    """How much longer the runner is cold, counted from when the record is received."""
