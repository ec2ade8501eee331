"""One reason why settings are refused."""

from __future__ import annotations

from typing import NamedTuple


class SettingsFault(NamedTuple):
    """Where in a settings document something is wrong, and what."""

    path: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line for an operator."""
        place = f"{self.path} {self.field}".strip()
        return f"{place}: {self.reason}"
