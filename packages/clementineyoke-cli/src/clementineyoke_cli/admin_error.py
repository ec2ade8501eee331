"""A refused or failed call to a node's operator interface."""

from __future__ import annotations


class AdminError(Exception):
    """Say at which step which node refused, why, and every detail."""

    def __init__(
        self, *, step: str, peer: str, reason: str, details: list[str]
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.details = details
