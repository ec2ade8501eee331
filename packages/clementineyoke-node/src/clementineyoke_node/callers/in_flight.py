"""Counts the requests in flight on this node."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class InFlight:
    """Count requests so that a shutdown can wait for the last one."""

    def __init__(self, *, max_requests: int) -> None:
        self._max_requests = max_requests
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in flight."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of requests is in flight."""
        return self._count >= self._max_requests

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request until the context ends."""
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
