"""A change of settings that was not made."""

from __future__ import annotations


class SettingsError(Exception):
    """Say at which step a change was refused, by whom, and every reason."""

    def __init__(
        self, *, step: str, peer: str, reason: str, details: list[str] | None = None
    ) -> None:
        super().__init__(f"{step} {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.details = details or []
