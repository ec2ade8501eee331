"""Error raised when an operation of the command-line tool fails."""

from __future__ import annotations


class AdminError(Exception):
    """Failure of a step at a node or file, with its reason and details."""

    def __init__(
        self, *, step: str, peer: str, reason: str, details: list[str]
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.details = details
