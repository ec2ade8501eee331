"""When rejected calls return, and how long calls wait: the policy and its default."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.grants.grant_rule import GrantRule
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.messages import Gossip

REFUSED_RETRY_MS = 100
"""Retry-After of a call that was refused by full or draining runners: by then the node
knows that they accept no more calls, and chooses another runner."""
MAX_QUEUE_MS = 400
"""Longest wait of a call for a slot before it is refused with a Retry-After."""


class ReturnPolicy(Protocol):
    """Decides on the Retry-After, the queue time and the early rejection of calls."""

    @property
    def grant_rules(self) -> tuple[GrantRule, ...]:
        """Rules that the homes of this node ask in addition."""

    def check_time_left(
        self,
        admitted: AdmittedCall,
        *,
        not_run_retry_ms: Callable[[AdmittedCall], int],
    ) -> None:
        """Raise ``RequestError`` for a call that cannot be answered in time.

        Must be called before the call is sent to any runner. ``not_run_retry_ms``
        returns the Retry-After, in milliseconds, of a call that did not run.
        """

    def queue_ms(self, admitted: AdmittedCall, *, was_searched: bool) -> int:
        """Return how long, in milliseconds, a call may queue for a slot.

        ``was_searched`` is whether the call has tried runners before.
        """

    def retry_after_ms(self, admitted: AdmittedCall) -> int:
        """Return the Retry-After, in milliseconds, of a call that did not run.

        The pool must have a runner that accepts calls.
        """

    def record_slot(self, admitted: AdmittedCall, *, asked_ms: float) -> None:
        """Record that a call got the slot that it asked for at a monotonic time."""

    def record_answer(self, admitted: AdmittedCall, *, granted_ms: float) -> None:
        """Record that a call was answered that got its slot at a monotonic time."""

    def describe(self, pool: str) -> dict[str, object]:
        """Return the inputs of the Retry-After in a pool, for the log."""

    def apply_hosts(self) -> set[str]:
        """Apply a changed set of nodes or runners; return the keys to gossip."""

    def publish(self) -> None:
        """Put this node's values into the next gossip."""

    def record_gossip(self, gossip: Gossip) -> None:
        """Record a gossip message from a peer."""


class FixedReturns:
    """Policy of a deployment without a return schedule: constant times."""

    grant_rules: tuple[GrantRule, ...] = ()

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers

    def check_time_left(
        self,
        admitted: AdmittedCall,
        *,
        not_run_retry_ms: Callable[[AdmittedCall], int],
    ) -> None:
        """Reject no call."""

    def queue_ms(self, admitted: AdmittedCall, *, was_searched: bool) -> int:
        """Return the constant queue time, or the caller's time if that is shorter."""
        left_ms = admitted.deadline_ms - self._timers.now_ms()
        return int(max(0.0, min(MAX_QUEUE_MS, left_ms)))

    def retry_after_ms(self, admitted: AdmittedCall) -> int:
        """Return the constant Retry-After."""
        return REFUSED_RETRY_MS

    def record_slot(self, admitted: AdmittedCall, *, asked_ms: float) -> None:
        """Ignore a granted slot."""

    def record_answer(self, admitted: AdmittedCall, *, granted_ms: float) -> None:
        """Ignore an answer."""

    def describe(self, pool: str) -> dict[str, object]:
        """Return no inputs."""
        return {}

    def apply_hosts(self) -> set[str]:
        """Return no keys."""
        return set()

    def publish(self) -> None:
        """Publish nothing."""

    def record_gossip(self, gossip: Gossip) -> None:
        """Ignore a message."""
