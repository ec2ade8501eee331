"""Response stream that is retained for a while without a reader."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

RETENTION_S = 5.0
"""How long an engine continues a stream without a reader, and retains its output."""


class RetainedStream:
    """Buffers the bytes of a response; readers can follow from any offset."""

    def __init__(self) -> None:
        self._body = bytearray()
        self._changed = asyncio.Condition()
        self._readers = 0
        self.is_complete = False
        self.last_read_s = 0.0
        """Event loop time at which a reader last stopped."""

    async def add(self, chunk: bytes) -> None:
        """Append bytes and notify the readers."""
        self._body += chunk
        async with self._changed:
            self._changed.notify_all()

    async def end(self) -> None:
        """Mark the stream as complete."""
        self.is_complete = True
        await self.add(b"")

    def is_abandoned(self) -> bool:
        """Return whether there has been no reader for ``RETENTION_S``."""
        now_s = asyncio.get_running_loop().time()
        return self._readers == 0 and now_s - self.last_read_s > RETENTION_S

    @contextmanager
    def reader(self) -> Iterator[None]:
        """Register a reader for the duration of the context."""
        self._readers += 1
        try:
            yield
        finally:
            self._readers -= 1
            self.last_read_s = asyncio.get_running_loop().time()

    async def read_from(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the bytes from an offset to the end of the stream as they arrive."""
        position = offset
        while True:
            if position < len(self._body):
                chunk = bytes(self._body[position:])
                position += len(chunk)
                yield chunk
                continue
            if self.is_complete:
                return
            async with self._changed:
                if position >= len(self._body) and not self.is_complete:
                    await self._changed.wait()
