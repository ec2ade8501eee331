"""The exact count of slots in use on the runners that this node is home of."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

GRANT_LEASE_MS = 15_000


class SlotGrant(NamedTuple):
    """Leave to send one request to a runner."""

    runner_id: str
    in_use: int
    """Slots in use with this one."""


class SlotRefusal(NamedTuple):
    """The runner gets no call now."""

    runner_id: str
    in_use: int
    is_held: bool = False
    """Whether it is held back for another reason than its load."""


class SlotHolder(NamedTuple):
    """Who holds a slot: the asking node and its own number for the request."""

    node_id: str
    ask_id: int


class SlotLedger:
    """Count slots by holder, so that repeats and lost messages cannot miscount.

    A lost release would shrink the fleet slot by slot, seen as refusals on an idle
    runner; a grant therefore lapses unless its holder renews it. A renewal of a grant
    that is not known here is adopted: that is how a new home learns what runs.
    """

    def __init__(self, *, lease_ms: float = GRANT_LEASE_MS) -> None:
        self._lease_ms = lease_ms
        self._expiry_ms: dict[str, dict[SlotHolder, float]] = {}

    def acquire(
        self, runner_id: str, holder: SlotHolder, *, bound: int, now_ms: float
    ) -> Result[SlotGrant, SlotRefusal]:
        """Grant a slot under the bound, or refuse with the load that was seen."""
        holds = self._expiry_ms.setdefault(runner_id, {})
        if holder not in holds and len(holds) >= bound:
            return Failure(SlotRefusal(runner_id, len(holds)))
        holds[holder] = now_ms + self._lease_ms
        return Success(SlotGrant(runner_id, len(holds)))

    def renew(self, runner_id: str, holder: SlotHolder, *, now_ms: float) -> None:
        """Keep a grant alive, adopting it when another home had given it."""
        holds = self._expiry_ms.setdefault(runner_id, {})
        holds[holder] = now_ms + self._lease_ms

    def release(self, runner_id: str, holder: SlotHolder) -> None:
        """Give a slot back; a repeat or an unknown release does nothing."""
        self._expiry_ms.get(runner_id, {}).pop(holder, None)

    def expire(self, *, now_ms: float) -> list[tuple[str, SlotHolder]]:
        """Drop the grants that nobody renewed and return them."""
        lapsed = [
            (runner_id, hold)
            for runner_id, holds in self._expiry_ms.items()
            for hold, expiry_ms in holds.items()
            if expiry_ms <= now_ms
        ]
        for runner_id, hold in lapsed:
            del self._expiry_ms[runner_id][hold]
        return lapsed

    def remove_runner(self, runner_id: str) -> None:
        """Drop a runner whose home has moved elsewhere."""
        self._expiry_ms.pop(runner_id, None)

    def in_use(self, runner_id: str) -> int:
        """Return the slots in use on a runner."""
        return len(self._expiry_ms.get(runner_id, {}))

    def runner_ids(self) -> list[str]:
        """Return the runners that have ever been counted and not forgotten."""
        return list(self._expiry_ms)
