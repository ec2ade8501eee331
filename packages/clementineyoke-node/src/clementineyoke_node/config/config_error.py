"""A settings file that cannot be used."""

from __future__ import annotations


class ConfigError(Exception):
    """Say at which step which file was refused, and why."""

    def __init__(self, *, step: str, source: str, reason: str) -> None:
        super().__init__(f"{source}: {step}: {reason}")
        self.step = step
        self.source = source
        self.reason = reason
