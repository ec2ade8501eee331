"""Requests that wait at a home for a slot on one runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.slot_ledger import SlotHolder

MOST_WAITING = 64
"""Requests that wait for one runner; more would only wait past their deadlines."""


class QueuedRequest(NamedTuple):
    """A request that waits, and until when its asker does."""

    holder: SlotHolder
    team: int
    """Hash of the team's path."""
    priority: int
    """0 is served first."""
    expires_at_ms: float


class SlotQueue:
    """Serve by priority; within one, teams in turn; within a team, first come first.

    First come first alone lets one team's surge fill the queue, seen as every other
    team's wait growing to its deadline. Turns are counted by what each team was
    granted from this queue.
    """

    def __init__(self, *, most_waiting: int = MOST_WAITING) -> None:
        self._most_waiting = most_waiting
        self._waiting: list[QueuedRequest] = []
        self._turns: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, ask: QueuedRequest) -> QueuedRequest | None:
        """Let a request wait; return the one that is turned away, if any.

        In a full queue that is the request which would be served last.
        """
        if not self._waiting:
            self._turns.clear()
        self._waiting.append(ask)
        # A team that comes late starts at the turn now being served: with none on its
        # count it would otherwise go before all others for as long as they have had.
        others = [self._turns.get(other.team, 0) for other in self._waiting[:-1]]
        self._turns.setdefault(ask.team, min(others, default=0))
        if len(self._waiting) <= self._most_waiting:
            return None
        last = max(self._waiting, key=self._rank)
        self._waiting.remove(last)
        return last

    def remove(self, holder: SlotHolder) -> bool:
        """Take a request out that no longer waits; return whether it was here."""
        before = len(self._waiting)
        self._waiting = [ask for ask in self._waiting if ask.holder != holder]
        return len(self._waiting) < before

    def pop_next(self, *, now_ms: float) -> QueuedRequest | None:
        """Return the request to serve now, forgetting those that have given up."""
        self._waiting = [ask for ask in self._waiting if ask.expires_at_ms > now_ms]
        if not self._waiting:
            return None
        chosen = min(self._waiting, key=self._rank)
        self._waiting.remove(chosen)
        self._turns[chosen.team] = self._turns.get(chosen.team, 0) + 1
        return chosen

    def _rank(self, ask: QueuedRequest) -> tuple[int, int, int]:
        place = self._waiting.index(ask)
        ahead = sum(
            1
            for other in self._waiting[:place]
            if other.team == ask.team and other.priority == ask.priority
        )
        return (ask.priority, self._turns.get(ask.team, 0) + ahead, place)
