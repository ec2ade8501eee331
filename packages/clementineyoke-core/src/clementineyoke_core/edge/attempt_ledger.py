"""What may follow when an attempt at a runner has failed."""

from __future__ import annotations

from enum import Enum


class AttemptOutcome(Enum):
    """How far an attempt is known to have got."""

    NOT_SENT = "not_sent"
    """No byte of the call left this node, as when a connection was refused."""
    REFUSED = "refused"
    """The runner itself said that it did not run the call."""
    FAILED = "failed"
    """The runner ran the call and answered with a failure."""
    LOST = "lost"
    """No whole answer came; the call may have run."""


MOST_CONNECTS = 4
"""Runners tried for one call while none takes a connection: in a zone's loss a third
of them may be dead, and four in a row are then met by one call in eighty."""


class AttemptLedger:
    """Follow one call's attempts; nothing that may have run is sent again by mistake.

    A call that may not be repeated goes on only while every attempt so far provably did
    not run. Without the distinction a lost answer would be sent again, seen as two
    bookings for one caller.
    """

    def __init__(self, *, may_repeat: bool, max_runners: int) -> None:
        self._may_repeat = may_repeat
        self._most_runners = max_runners
        self._sends = 0
        self._connects = 0
        self._may_have_run = False
        self.tried: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt so far may have run."""
        return self._may_have_run

    @property
    def sends(self) -> int:
        """How many runners were sent the call."""
        return self._sends

    def record(self, runner_id: str, end: AttemptOutcome) -> None:
        """Note the end of one attempt."""
        self.tried.append(runner_id)
        self._connects += 1
        if end is AttemptOutcome.NOT_SENT:
            return
        self._sends += 1
        if end is not AttemptOutcome.REFUSED:
            self._may_have_run = True

    def may_abandon_attempt(self) -> bool:
        """Whether one more runner may be tried if the attempt under way is ended."""
        return self._may_repeat and self._sends + 1 < self._most_runners

    def may_retry(self) -> bool:
        """Whether the call may be sent to one more runner."""
        if self._may_have_run and not self._may_repeat:
            return False
        if self._sends >= self._most_runners:
            return False
        return self._connects < MOST_CONNECTS + self._sends
