"""Error raised when an operation of the command-line tool fails."""

from __future__ import annotations


class AdminError(Exception):
    """Failed step, the node or file that it failed at, the reason and all details."""

    def __init__(
        self, *, step: str, peer: str, reason: str, details: list[str]
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.details = details
