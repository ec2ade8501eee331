"""Errors of calls to the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call failed; carries step and peer.

    Unless a subclass states otherwise, a write may or may not have taken effect.
    """

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a watch's revision."""


class ResponseTooLongError(StoreError):
    """The response exceeds a bound on what this node holds or takes."""


class RevisionConflictError(StoreError):
    """A conditional write found another revision, or the object to create exists."""


class ObjectMissingError(StoreError):
    """No object of that name exists."""
