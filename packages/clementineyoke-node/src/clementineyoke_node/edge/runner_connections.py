"""The open connections to runners, as evidence of whether these have ended."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner


MS_PER_S = 1000.0
CRASH_SPREAD_MS = 20.0
"""Longest time between the ends of a process's connections when it crashes."""
SAME_MOMENT_MS = 5.0
"""Time between two ends that are read in the same turn of the event loop, or nearly."""
MAX_CUTS = 16
"""Ends of each kind that are remembered for an address; two decide."""


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
    def is_open(self) -> bool:
        """Whether it has not been ended; False where that is unknown."""


class _Cut(NamedTuple):
    ended_s: float
    was_idle: bool


class RunnerConnections:
    """Record which connections to an address are open, and which were last cut.

    All connections of a process end in the same moment when it crashes. A runner may
    close a single idle connection at any time.
    """

    def __init__(self) -> None:
        self._open: dict[Address, set[Connection]] = defaultdict(set)
        self._cuts: dict[Address, deque[_Cut]] = {}
        self._answer_ends_s: dict[Address, deque[float]] = {}

    def add(self, address: Address, connection: Connection) -> None:
        """Record that a connection is open."""
        self._open[address].add(connection)

    def remove(self, address: Address, connection: Connection) -> None:
        """Record the end of a connection, which need not have been added."""
        connections = self._open[address]
        connections.discard(connection)
        if not connections:
            del self._open[address]

    def record_cut(self, address: Address, *, ended_s: float, was_idle: bool) -> None:
        """Record that a runner has ended a connection, and not as the end of an answer.

        ``was_idle`` is whether no call waited for an answer on it.
        """
        cuts = self._cuts.setdefault(address, deque(maxlen=MAX_CUTS))
        cuts.append(_Cut(ended_s, was_idle))

    def record_answer_end(self, address: Address, *, ended_s: float) -> None:
        """Record an end of a connection that ended an answer as well."""
        ends_s = self._answer_ends_s.setdefault(address, deque(maxlen=MAX_CUTS))
        ends_s.append(ended_s)

    def has_open(self, address: Address, *, before_s: float) -> bool:
        """Return whether a connection is open that was opened before a time."""
        return any(
            connection.connected_s < before_s and connection.is_open
            for connection in self._open.get(address, ())
        )

    def were_cut(self, address: Address, *, ended_s: float) -> bool:
        """Return whether other connections ended like those of a crash at a time."""
        since_s = ended_s - CRASH_SPREAD_MS / MS_PER_S
        cuts = [c for c in self._cuts.get(address, ()) if c.ended_s >= since_s]
        if len(cuts) > 1 or any(not cut.was_idle for cut in cuts):
            return True
        return any(
            abs(cut.ended_s - ended_s) <= SAME_MOMENT_MS / MS_PER_S for cut in cuts
        )

    def ended_together(self, address: Address, *, ended_s: float) -> bool:
        """Return whether several answers ended with their connections at a time."""
        ends_s = self._answer_ends_s.get(address, ())
        together = [s for s in ends_s if abs(s - ended_s) <= SAME_MOMENT_MS / MS_PER_S]
        return len(together) > 1
