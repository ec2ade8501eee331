"""What the fleet knows of a runner from the host list."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RunnerKind(Enum):
    """What stands behind a runner's address."""

    ENGINE = "engine"
    SERVICE = "service"


class Runner(NamedTuple):
    """A back end: one model engine or one copy of a plain service."""

    runner_id: str
    address: str
    port: int
    availability_zone: str
    region: str
    kind: RunnerKind
    pool: str
    """The model that an engine serves, or the name of a plain service."""
    slots: int
    """How many requests it takes at once."""
