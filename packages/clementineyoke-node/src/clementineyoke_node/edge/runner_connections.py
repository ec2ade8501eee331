"""The open connections to runners, as evidence of whether these have ended."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


class Address(NamedTuple):
    """The address of a runner."""

    host: str
    port: int

    @classmethod
    def of(cls, runner: Runner) -> Address:
        """Return the address of a runner."""
        return cls(runner.address, runner.port)


class Connection(Protocol):
    """A connection to a runner."""

    @property
    def connected_s(self) -> float:
        """When it was opened."""

    @property
    def is_reading(self) -> bool:
        """Whether its end would be noticed."""


class RunnerConnections:
    """Record which connections to an address are open, and when one was last cut.

    All connections of a process end in the same moment when it crashes.
    """

    def __init__(self) -> None:
        self._open: dict[Address, set[Connection]] = defaultdict(set)
        self._cut_s: dict[Address, float] = {}

    def add(self, address: Address, connection: Connection) -> None:
        """Record that a connection was opened."""
        self._open[address].add(connection)

    def remove(
        self, address: Address, connection: Connection, *, cut_s: float | None
    ) -> None:
        """Record the end of a connection; ``cut_s`` is when the runner has cut it."""
        connections = self._open[address]
        connections.discard(connection)
        if not connections:
            del self._open[address]
        if cut_s is not None:
            self._cut_s[address] = cut_s

    def has_open(self, address: Address, *, before_s: float) -> bool:
        """Return whether a connection is open that was opened before a time."""
        return any(
            connection.connected_s < before_s and connection.is_reading
            for connection in self._open.get(address, ())
        )

    def was_cut(self, address: Address, *, since_s: float) -> bool:
        """Return whether a connection has been cut since a time."""
        return self._cut_s.get(address, float("-inf")) >= since_s
