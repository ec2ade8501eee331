"""The requests that this node has begun and not ended."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class InFlight:
    """Count requests, so that a stop can wait for the last one."""

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Requests now in flight."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether one more would be over the bound."""
        return self._count >= self._most

    @contextmanager
    def one(self) -> Iterator[None]:
        """Count one request while it lasts."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        await self._idle.wait()
