"""The open connections to each runner's address."""

from __future__ import annotations

from typing import Protocol


class Connection(Protocol):
    """An open connection to a runner."""

    @property
    def is_reading(self) -> bool:
        """Whether its end would be noticed at once."""


class OpenConnections:
    """Knows which connections are open: while one is, its runner has not crashed."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], set[Connection]] = {}

    def add(self, address: str, port: int, connection: Connection) -> None:
        """Add a connection that was opened."""
        self._connections.setdefault((address, port), set()).add(connection)

    def remove(self, address: str, port: int, connection: Connection) -> None:
        """Remove a connection that has ended."""
        connections = self._connections.get((address, port), set())
        connections.discard(connection)
        if not connections:
            self._connections.pop((address, port), None)

    def is_any_open(self, address: str, port: int) -> bool:
        """Return whether a connection to an address is open for certain."""
        connections = self._connections.get((address, port), ())
        return any(connection.is_reading for connection in connections)
