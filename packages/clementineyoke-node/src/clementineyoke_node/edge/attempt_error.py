"""The error of an attempt that gave no response to return to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome

if TYPE_CHECKING:
    from clementineyoke_node.edge.runner_response import CompleteResponse


_READ_STEPS = frozenset(("read_head", "read_body", "relay"))


class AttemptError(Exception):
    """Raised when an attempt fails, with its outcome, the step and the runner."""

    def __init__(
        self,
        *,
        outcome: AttemptOutcome,
        step: str,
        peer: str,
        reason: str,
        response: CompleteResponse | None = None,
        is_connection_lost: bool = False,
        is_runner_fault: bool = True,
        is_rejection: bool = False,
        is_final: bool = False,
        is_refused: bool = False,
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.outcome = outcome
        self.step = step
        self.peer = peer
        self.reason = reason
        self.is_connection_lost = is_connection_lost
        """Whether the connection broke during the call, as when a runner crashes."""
        self.is_runner_fault = is_runner_fault
        """Whether the failure counts against the runner."""
        self.is_rejection = is_rejection
        """Whether the runner stated that it had no room for the call."""
        self.is_final = is_final
        """Whether the caller has a part of this answer, which no other can go on."""
        self.is_refused = is_refused
        """Whether the runner's host refused the connection."""
        self.response = response
        """The runner's signed error response, returned if no retry succeeds."""

    @classmethod
    def lost(
        cls,
        error: Exception,
        *,
        step: str,
        peer: str,
        reason: str = "",
        is_final: bool = False,
    ) -> Self:
        """Return the error of a call whose response could not be read.

        A connection that timed out has not broken.
        """
        return cls(
            outcome=AttemptOutcome.LOST,
            step=step,
            peer=peer,
            reason=reason or repr(error),
            is_connection_lost=not isinstance(error, TimeoutError),
            is_final=is_final,
        )

    @property
    def is_silence(self) -> bool:
        """Whether no connection was accepted, or nothing came on one in time."""
        if self.outcome is AttemptOutcome.NOT_SENT:
            return self.is_runner_fault
        is_timeout = self.step in _READ_STEPS and not self.is_connection_lost
        return self.outcome is AttemptOutcome.LOST and is_timeout
