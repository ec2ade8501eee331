"""Failures of calls to the platform."""

from __future__ import annotations


class PlatformError(Exception):
    """A call failed, and for a write nothing tells whether it took effect."""

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class VersionConflictError(PlatformError):
    """A conditional write met another version; it did not take effect."""
