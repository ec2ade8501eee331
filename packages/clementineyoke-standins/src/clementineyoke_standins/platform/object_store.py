"""Objects with versions, in memory."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

PAGE_OBJECTS = 200


class ObjectVersion(NamedTuple):
    """An object with its version and the store's revision of its last write."""

    body: bytes
    version: int
    revision: int


class ObjectStore:
    """Conditional updates and a revision that watches wait on."""

    def __init__(self) -> None:
        self._objects: dict[str, ObjectVersion] = {}
        self.revision = 0
        self.changed = asyncio.Condition()

    def read(self, name: str) -> ObjectVersion | None:
        """Return an object, or None."""
        return self._objects.get(name)

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write and return the new version, or 0 when the version is another."""
        held = self._objects.get(name)
        version = 0 if held is None else held.version
        if version != expected_version:
            return 0
        self.revision += 1
        self._objects[name] = ObjectVersion(body, version + 1, self.revision)
        async with self.changed:
            self.changed.notify_all()
        return version + 1

    def list_after(self, prefix: str, after: str) -> list[tuple[str, ObjectVersion]]:
        """Return a page of a prefix's objects with names after a name."""
        names = sorted(n for n in self._objects if n.startswith(prefix) and n > after)
        return [(name, self._objects[name]) for name in names[:PAGE_OBJECTS]]

    def written_after(
        self, prefix: str, revision: int
    ) -> list[tuple[str, ObjectVersion]]:
        """Return a prefix's objects that were written after a revision."""
        return [
            (name, held)
            for name, held in sorted(self._objects.items())
            if name.startswith(prefix) and held.revision > revision
        ]
