"""An answer that broke off after the caller had been sent a part of it."""

from __future__ import annotations


class TruncatedAnswerError(Exception):
    """Say at which step which runner's answer broke off."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
