"""A datagram or body that cannot be read."""

from __future__ import annotations


class WireError(Exception):
    """Say at which step a message from which peer was refused, and why."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
