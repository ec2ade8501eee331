"""Interface of the rules that a home node asks before it grants a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from clementineyoke_core.grants.call_profile import UNDESCRIBED, CallProfile

if TYPE_CHECKING:
    from clementineyoke_core.grants.refusal_reason import RefusalReason
    from clementineyoke_core.slot_ledger import SlotHolder


class GrantRequest(NamedTuple):
    """A request for a slot on one runner at one moment."""

    runner_id: str
    holder: SlotHolder
    now_ms: float
    seen_mean: float = 0.0
    """Mean load that the requester observed; above 0 only in a last-resort request."""
    load_factor: float = 0.0
    """Maximum load as a multiple of the mean; 0 for the home's default."""
    is_queued: bool = False
    """Whether the call has waited at this home and is next in the runner's queue."""
    profile: CallProfile = UNDESCRIBED

    @property
    def is_last_resort(self) -> bool:
        """Return whether the runners tried before have all refused."""
        return self.seen_mean > 0.0


class GrantRule(Protocol):
    """One condition on grants; a slot is granted if no rule refuses it.

    A rule keeps its own state per runner and performs no I/O. The methods other than
    ``check`` are called whatever the rule decides.
    """

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Return why the slot is refused, or None; must not change any state."""

    def record_request(self, request: GrantRequest) -> None:
        """Record that a call asked for a slot, before ``check``."""

    def record_grant(self, request: GrantRequest) -> None:
        """Record that a slot was granted."""

    def record_renewal(
        self, runner_id: str, holder: SlotHolder, *, tokens: int
    ) -> None:
        """Record that a holder still has its slot.

        The grant may have been given by a previous home. ``tokens`` is the memory that
        the call takes, or 0 if unknown.
        """

    def record_release(self, runner_id: str, holder: SlotHolder) -> None:
        """Record that a slot was released or expired; it may be unknown."""

    def remove_runner(self, runner_id: str) -> None:
        """Remove the state of a runner that restarted, left or moved."""


class BaseGrantRule:
    """Base of rules, whose methods record nothing; a rule overrides what it needs."""

    def record_request(self, request: GrantRequest) -> None:
        """Ignore a request."""

    def record_grant(self, request: GrantRequest) -> None:
        """Ignore a grant."""

    def record_renewal(
        self, runner_id: str, holder: SlotHolder, *, tokens: int
    ) -> None:
        """Ignore a renewal."""

    def record_release(self, runner_id: str, holder: SlotHolder) -> None:
        """Ignore a release."""

    def remove_runner(self, runner_id: str) -> None:
        """Ignore the removal of a runner."""
