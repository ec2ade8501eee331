"""The error for malformed messages and objects of the platform."""

from __future__ import annotations


class FormatError(Exception):
    """A message or object could not be decoded; carries step and peer."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
