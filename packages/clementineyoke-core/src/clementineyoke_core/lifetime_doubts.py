"""Runners that may have started again since their entries were written."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    from clementineyoke_core.runner import Runner

SETTLE_MS = 2_200.0
"""How long the store's list has to show an entry after its runner was seen to listen. A
runner writes its entry when it starts, and about 2 s after an outage of the store."""


class LifetimeDoubt(NamedTuple):
    """Evidence that a lifetime has ended, as one node hands it to another."""

    lifetime: str
    first_age_ms: float
    last_age_ms: float


class _End(NamedTuple):
    """Evidence that a lifetime has ended, in monotonic times."""

    first_ms: float
    last_ms: float
    accepted_ms: float = math.inf
    """When its address accepted a connection for the first time after the evidence.

    While it accepts none, the next lifetime may still start and write its entry.
    """


class LifetimeDoubts:
    """Remember the lifetimes that may have ended although their entries are in force.

    A runner may start again at another software version under its id and its address.
    Until a node reads its new entry, it would take what the new lifetime writes for the
    work of the old version. Only entries with a start time are concerned: other runners
    have a new id at each start and reject calls for the id before.
    """

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}
        self._settled_ms: dict[str, float] = {}
        """When doubts ended. Peers may end theirs later, and would hand them back."""
        self._current_since_ms = math.inf
        """Since when the list of runners has been current without interruption."""

    @property
    def is_empty(self) -> bool:
        """Whether no lifetime is in doubt."""
        return not self._ends

    def record_end(self, runner: Runner, *, now_ms: float) -> bool:
        """Record evidence of the end of a lifetime; return whether it is the first."""
        if not runner.born_ms:
            return False
        known = self._ends.get(runner.lifetime)
        first_ms = now_ms if known is None else known.first_ms
        self._ends[runner.lifetime] = _End(first_ms, now_ms)
        return known is None

    def record_accepted(self, runner: Runner, *, now_ms: float) -> None:
        """Record that the address of a runner has accepted a connection."""
        end = self._ends.get(runner.lifetime)
        if end is not None:
            accepted_ms = min(end.accepted_ms, now_ms)
            self._ends[runner.lifetime] = end._replace(accepted_ms=accepted_ms)

    def is_accepting(self, runner: Runner) -> bool:
        """Return whether the address of a runner in doubt has accepted a connection."""
        end = self._ends.get(runner.lifetime)
        return end is not None and end.accepted_ms < math.inf

    def record_view(self, *, confirmed_ms: float, is_stale: bool) -> None:
        """Record when the list of runners was last known to be the store's newest."""
        if is_stale:
            self._current_since_ms = math.inf
            return
        self._current_since_ms = min(self._current_since_ms, confirmed_ms)
        for lifetime, end in list(self._ends.items()):
            since_ms = max(end.accepted_ms, self._current_since_ms)
            if confirmed_ms - since_ms >= SETTLE_MS:
                del self._ends[lifetime]
                self._settled_ms[lifetime] = confirmed_ms

    def view(self, *, now_ms: float) -> list[LifetimeDoubt]:
        """Return all doubts in the form that is sent to a peer."""
        return [
            LifetimeDoubt(lifetime, now_ms - end.first_ms, now_ms - end.last_ms)
            for lifetime, end in self._ends.items()
        ]

    def adopt(self, doubt: LifetimeDoubt, *, now_ms: float) -> bool:
        """Adopt a peer's doubt; return whether it is new to this node."""
        last_ms = now_ms - doubt.last_age_ms
        settled_ms = self._settled_ms.get(doubt.lifetime, -math.inf)
        if doubt.lifetime in self._ends or last_ms <= settled_ms:
            return False
        self._ends[doubt.lifetime] = _End(now_ms - doubt.first_age_ms, last_ms)
        return True

    def is_doubtful(self, runner: Runner, *, connected_ms: float = math.inf) -> bool:
        """Return whether another lifetime than the listed one may answer a call.

        ``connected_ms`` is the time at which the connection of the call was opened. One
        from before the evidence leads to the lifetime that the node had known.
        """
        end = self._ends.get(runner.lifetime)
        return end is not None and connected_ms >= end.first_ms

    def retain(self, lifetimes: Collection[str]) -> None:
        """Forget all lifetimes but the listed ones."""
        for known in (self._ends, self._settled_ms):
            for lifetime in known.keys() - lifetimes:
                del known[lifetime]
