"""What every fault of the run offers."""

from __future__ import annotations

from typing import Protocol


class Fault(Protocol):
    """Something that begins, lasts and is healed."""

    name: str

    async def begin(self) -> None:
        """Bring the fault about."""
        ...

    async def heal(self) -> None:
        """Take it away again."""
        ...
