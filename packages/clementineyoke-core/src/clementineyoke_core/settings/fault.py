"""Fault found by the validation of settings."""

from __future__ import annotations

from typing import NamedTuple


class SettingsFault(NamedTuple):
    """A fault in a settings document, with its path and field."""

    path: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line for an operator."""
        place = f"{self.path} {self.field}".strip()
        return f"{place}: {self.reason}"
