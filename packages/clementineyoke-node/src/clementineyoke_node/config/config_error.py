"""The error for a settings file that cannot be read or is invalid."""

from __future__ import annotations


class ConfigError(Exception):
    """A settings file was refused; carries step, source and reason."""

    def __init__(self, *, step: str, source: str, reason: str) -> None:
        super().__init__(f"{source}: {step}: {reason}")
        self.step = step
        self.source = source
        self.reason = reason
