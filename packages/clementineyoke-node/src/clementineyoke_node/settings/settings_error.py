"""Error raised when a change of settings is rejected."""

from __future__ import annotations


class SettingsError(Exception):
    """A change of settings was rejected.

    Carries the step that failed, the peer that caused it, and all reasons.
    """

    def __init__(
        self, *, step: str, peer: str, reason: str, details: list[str] | None = None
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.details = details or []
