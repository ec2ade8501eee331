"""Error raised when an exchange with a runner fails."""

from __future__ import annotations


class RunnerError(Exception):
    """An exchange with a runner failed.

    Carries the step that failed, the runner, and whether the request may have run.
    """

    def __init__(
        self, *, step: str, peer: str, reason: str, may_have_run: bool
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
