"""In-process object API with a delay and injected faults, for tests and benchmarks."""

from __future__ import annotations

import asyncio

from clementineyoke_node.objects.object_api import StoredObject, WatchResult
from clementineyoke_node.objects.platform_error import (
    PlatformError,
    VersionConflictError,
)
from clementineyoke_standins.platform.object_store import ObjectStore

MS_PER_S = 1000


class MemoryObjectApi:
    """In-memory implementation of the ``ObjectApi`` protocol."""

    def __init__(self, *, delay_ms: float = 0.0) -> None:
        self.store = ObjectStore()
        self.delay_ms = delay_ms
        self.lost_replies = 0
        """Number of next writes that take effect and then raise ``PlatformError``."""
        self.is_unavailable = False
        self.writes = 0
        self.calls = 0

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        await self._wait()
        stored = self.store.read(name)
        return (
            None if stored is None else StoredObject(name, stored.version, stored.body)
        )

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write the object and return its new version.

        Raises ``VersionConflictError`` if the stored version is not the expected one.
        """
        await self._wait()
        self.writes += 1
        version = await self.store.write(name, body, expected_version=expected_version)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            raise PlatformError(step="write", peer="memory", reason="lost reply")
        if version == 0:
            raise VersionConflictError(step="write", peer="memory", reason="version")
        return version

    async def list_after(self, prefix: str, after: str) -> list[StoredObject]:
        """Return a page of the objects under a prefix, with names after ``after``."""
        await self._wait()
        page = self.store.list_after(prefix, after)
        return [
            StoredObject(name, stored.version, stored.body) for name, stored in page
        ]

    async def watch(self, prefix: str, *, after_revision: int) -> WatchResult:
        """Wait for objects under a prefix newer than a revision, and return them."""
        async with self.store.changed:
            await self.store.changed.wait_for(
                lambda: bool(self.store.written_after(prefix, after_revision))
            )
        page = self.store.written_after(prefix, after_revision)
        objects = [
            StoredObject(name, stored.version, stored.body) for name, stored in page
        ]
        return WatchResult(self.store.revision, objects)

    async def _wait(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        if self.is_unavailable:
            raise PlatformError(step="call", peer="memory", reason="outage")
