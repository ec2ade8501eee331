"""Failures of calls to the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call failed; carries step and peer.

    Unless a subclass says otherwise, nothing tells whether a write took effect.
    """

    def __init__(self, *, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class HistoryGoneError(StoreError):
    """The store no longer holds the history that a watch wanted."""


class RevisionConflictError(StoreError):
    """A conditional write met another revision, or an object that exists."""


class ObjectMissingError(StoreError):
    """There is no object of that name."""
