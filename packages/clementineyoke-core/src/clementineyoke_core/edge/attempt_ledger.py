"""Retry decisions for one call after failed attempts at runners."""

from __future__ import annotations

from enum import Enum


class AttemptOutcome(Enum):
    """How an attempt at a runner ended."""

    NOT_SENT = "not_sent"
    """No byte of the call left this node, for example on a refused connection."""
    REFUSED = "refused"
    """The runner reported that it did not run the call."""
    FAILED = "failed"
    """The runner ran the call and responded with an error."""
    LOST = "lost"
    """No complete response arrived; the call may have run."""


MAX_CONNECTS = 4
"""Connection attempts for one call while no runner accepts one. When an availability
zone fails, a third of the runners may be dead; one call in eighty then hits four dead
runners in a row."""


class AttemptLedger:
    """Record the attempts of one call and decide whether it may be retried.

    A call that may not be repeated is retried only while every attempt so far provably
    did not run. If a lost response were treated as a call that did not run, the call
    would run twice, for example as two bookings for one caller.
    """

    def __init__(
        self, *, may_repeat: bool, max_runners: int, runners_used: int = 0
    ) -> None:
        """Create a ledger; another node has sent the call to ``runners_used`` runners.

        A call that has used all its runners may still go to one.
        """
        self._may_repeat = may_repeat
        self._max_runners = max_runners
        self._sends = max(0, min(runners_used, max_runners - 1))
        self._connects = 0
        self._may_have_run = False
        self.tried: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt so far may have run."""
        return self._may_have_run

    @property
    def sends(self) -> int:
        """Return to how many runners the call was sent."""
        return self._sends

    def record(self, runner_id: str, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt at a runner."""
        self.tried.append(runner_id)
        self._connects += 1
        if outcome is AttemptOutcome.NOT_SENT:
            return
        self._sends += 1
        if outcome is not AttemptOutcome.REFUSED:
            self._may_have_run = True

    def may_abandon_attempt(self) -> bool:
        """Return whether another runner may be tried if this attempt is abandoned."""
        if not self._may_repeat or self._sends + 1 >= self._max_runners:
            return False
        return self._connects < MAX_CONNECTS + self._sends

    def tried_and(self, runner_id: str | None) -> list[str]:
        """Return the runners tried so far, and the one that has the call, if any."""
        return self.tried if runner_id is None else [*self.tried, runner_id]

    def may_retry(self) -> bool:
        """Return whether the call may be sent to another runner."""
        if self._may_have_run and not self._may_repeat:
            return False
        if self._sends >= self._max_runners:
            return False
        return self._connects < MAX_CONNECTS + self._sends
