"""Errors of calls to the store."""

from __future__ import annotations


class StoreError(Exception):
    """A call failed; carries step and peer.

    Unless a subclass states otherwise, a write may or may not have taken effect.
    ``unanswered_ms`` is how long the answer was overdue when the call was given up.
    """

    def __init__(
        self, *, step: str, peer: str, reason: str, unanswered_ms: float = 0.0
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.unanswered_ms = unanswered_ms
        self.step = step
        self.peer = peer
        self.reason = reason


class WatchCutError(StoreError):
    """The store closed the connection of a watch that was waiting, as it may do."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a watch's revision."""


class ResponseTooLongError(StoreError):
    """The response exceeds a bound on what this node holds or takes."""


class RevisionConflictError(StoreError):
    """A conditional write found another revision, or the object to create exists."""


class ObjectMissingError(StoreError):
    """No object of that name exists."""
