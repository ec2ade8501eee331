"""Exact count of slots in use on the runners whose home is this node."""

from __future__ import annotations

from typing import NamedTuple

from returns.result import Failure, Result, Success

from clementineyoke_core.grants.refusal_reason import RefusalReason

GRANT_LEASE_MS = 15_000


class SlotGrant(NamedTuple):
    """Permission to send one request to a runner."""

    runner_id: str
    in_use: int
    """Slots in use, including this one."""
    prefill_tokens: int = 0
    """Prompt tokens that the runner has to process by its home's record; 0 if unknown.
    """
    valid_ms: float = 0.0
    """Time from the request on within which the call must be sent; 0 for no limit."""


class SlotRefusal(NamedTuple):
    """Refusal of a slot on a runner."""

    runner_id: str
    in_use: int
    reason: RefusalReason = RefusalReason.LOAD

    @property
    def is_held(self) -> bool:
        """Return whether the runner is held back for another reason than its load."""
        return self.reason.is_held


class SlotHolder(NamedTuple):
    """Holder of a slot: the requesting node and its number of the request."""

    requester: str
    """Id of this node, or ``address:port`` of a peer."""
    ask_id: int


class SlotLedger:
    """Count slots by holder, so that repeated or lost messages cause no miscount.

    A slot whose release was lost would stay in use for good, and an idle runner would
    refuse requests; a grant therefore expires unless its holder renews it. Renewing an
    unknown grant adds it: this is how a new home learns which requests are running.
    """

    def __init__(self, *, lease_ms: float = GRANT_LEASE_MS) -> None:
        self._lease_ms = lease_ms
        self._expires_at_ms: dict[str, dict[SlotHolder, float]] = {}

    def acquire(
        self, runner_id: str, holder: SlotHolder, *, bound: int, now_ms: float
    ) -> Result[SlotGrant, SlotRefusal]:
        """Grant a slot below the bound, or refuse it with the current load.

        A repeated request of a holder renews its grant.
        """
        if not self.has_room(runner_id, holder, bound=bound):
            return Failure(SlotRefusal(runner_id, self.in_use(runner_id)))
        self.renew(runner_id, holder, now_ms=now_ms)
        return Success(SlotGrant(runner_id, self.in_use(runner_id)))

    def has_room(self, runner_id: str, holder: SlotHolder, *, bound: int) -> bool:
        """Return whether a holder has a slot or the runner is below the bound."""
        grants = self._expires_at_ms.get(runner_id, {})
        return holder in grants or len(grants) < bound

    def renew(self, runner_id: str, holder: SlotHolder, *, now_ms: float) -> None:
        """Extend a grant's lease; add the grant if another home gave it."""
        grants = self._expires_at_ms.setdefault(runner_id, {})
        grants[holder] = now_ms + self._lease_ms

    def release(self, runner_id: str, holder: SlotHolder) -> None:
        """Free a slot; a repeated or unknown release has no effect."""
        self._expires_at_ms.get(runner_id, {}).pop(holder, None)

    def expire(self, *, now_ms: float) -> list[tuple[str, SlotHolder]]:
        """Remove and return the grants whose leases have expired."""
        expired = [
            (runner_id, holder)
            for runner_id, grants in self._expires_at_ms.items()
            for holder, expires_at_ms in grants.items()
            if expires_at_ms <= now_ms
        ]
        for runner_id, holder in expired:
            del self._expires_at_ms[runner_id][holder]
        return expired

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner that restarted, left or moved to another home."""
        self._expires_at_ms.pop(runner_id, None)

    def holds(self, runner_id: str, holder: SlotHolder) -> bool:
        """Return whether a holder has a slot on a runner."""
        return holder in self._expires_at_ms.get(runner_id, {})

    def in_use(self, runner_id: str) -> int:
        """Return the number of slots in use on a runner."""
        return len(self._expires_at_ms.get(runner_id, {}))

    def runner_ids(self) -> list[str]:
        """Return all runners in the ledger, including those without slots in use."""
        return list(self._expires_at_ms)
