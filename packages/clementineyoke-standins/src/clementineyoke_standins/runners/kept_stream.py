"""A stream that goes on for a while without a reader."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

RETENTION_S = 5.0
"""How long an engine works on without a reader, and keeps what it made."""


class RetainedStream:
    """Collect an answer's bytes; readers follow from any place."""

    def __init__(self) -> None:
        self._body = bytearray()
        self._grown = asyncio.Condition()
        self._readers = 0
        self.is_complete = False
        self.last_read_s = 0.0
        """Loop time at which the last reader went."""

    async def add(self, chunk: bytes) -> None:
        """Append bytes and wake the readers."""
        self._body += chunk
        async with self._grown:
            self._grown.notify_all()

    async def end(self) -> None:
        """Note that nothing more will come."""
        self.is_complete = True
        await self.add(b"")

    def is_abandoned(self) -> bool:
        """Whether nobody has read for the grace time."""
        now_s = asyncio.get_running_loop().time()
        return self._readers == 0 and now_s - self.last_read_s > RETENTION_S

    @contextmanager
    def reader(self) -> Iterator[None]:
        """Count a reader while it reads."""
        self._readers += 1
        try:
            yield
        finally:
            self._readers -= 1
            self.last_read_s = asyncio.get_running_loop().time()

    async def read_from(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the bytes after a place, as they come, to the end."""
        place = offset
        while True:
            if place < len(self._body):
                chunk = bytes(self._body[place:])
                place += len(chunk)
                yield chunk
                continue
            if self.is_complete:
                return
            async with self._grown:
                if place >= len(self._body) and not self.is_complete:
                    await self._grown.wait()
