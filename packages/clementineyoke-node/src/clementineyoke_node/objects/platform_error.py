"""Errors of calls to the platform."""

from __future__ import annotations


class PlatformError(Exception):
    """A call to the platform failed; a write may have taken effect nevertheless."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class VersionConflictError(PlatformError):
    """A conditional write was refused because the object's version did not match."""
