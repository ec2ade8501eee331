"""Violation found by the validation of settings."""

from __future__ import annotations

from typing import NamedTuple


class SettingsViolation(NamedTuple):
    """A violation in a settings document, with its path and field."""

    path: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the violation as one line for an operator."""
        location = f"{self.path} {self.field}".strip()
        return f"{location}: {self.reason}"
