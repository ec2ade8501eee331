"""Runner as described by the host list."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from clementineyoke_core.hashing import hash_text


class RunnerKind(Enum):
    """Kind of back end at a runner's address."""

    ENGINE = "engine"
    SERVICE = "service"


class Runner(NamedTuple):
    """A back end: a model engine or a replica of a plain service."""

    runner_id: str
    address: str
    port: int
    availability_zone: str
    region: str
    kind: RunnerKind
    pool: str
    """The model that an engine serves, or the name of a plain service."""
    slots: int
    """Number of concurrent requests."""
    born_ms: int = 0
    """Start of this lifetime, in Unix ms by the runner's clock; 0 if unknown."""
    version: str = ""
    """Version of the runner's software; empty if unknown."""

    @property
    def lifetime(self) -> str:
        """Name of this lifetime; a runner may restart under the same id."""
        return f"{self.runner_id}@{self.born_ms}" if self.born_ms else self.runner_id

    @property
    def lifetime_hash(self) -> int:
        """Hash that stands for this lifetime in messages between nodes.

        A late message about an earlier lifetime has a hash that no longer matches any
        runner, and so has no effect.
        """
        return hash_text(self.lifetime)
