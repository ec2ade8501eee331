"""The error for a response that ended early after a part of it had been relayed."""

from __future__ import annotations


class TruncatedResponseError(Exception):
    """A runner's response was truncated; carries step, runner and reason."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
