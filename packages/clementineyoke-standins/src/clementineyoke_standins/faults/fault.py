"""Interface of the faults of a fault run."""

from __future__ import annotations

from typing import Protocol


class Fault(Protocol):
    """A fault that can be injected and cleared."""

    name: str

    async def start(self) -> None:
        """Inject the fault."""
        ...

    async def clear(self) -> None:
        """Clear the fault."""
        ...
