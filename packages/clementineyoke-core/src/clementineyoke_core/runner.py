"""What the fleet knows of a runner from the host list."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from clementineyoke_core.hashing import hash_text


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
    born_ms: int = 0
    """When this lifetime began, Unix ms by its own clock; 0 if it does not say."""

    @property
    def lifetime(self) -> str:
        """Name of this lifetime: a runner may start anew under the id that it had."""
        return f"{self.runner_id}@{self.born_ms}" if self.born_ms else self.runner_id

    @property
    def lifetime_hash(self) -> int:
        """By which messages between nodes name this lifetime.

        A late word of an earlier lifetime names something that nobody knows any more,
        and so changes nothing.
        """
        return hash_text(self.lifetime)
