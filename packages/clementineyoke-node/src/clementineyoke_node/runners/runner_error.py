"""An exchange with a runner that brought no answer."""

from __future__ import annotations


class RunnerError(Exception):
    """Say at which step which runner failed, and whether the request may have run."""

    def __init__(
        self, *, step: str, peer: str, reason: str, may_have_run: bool
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
