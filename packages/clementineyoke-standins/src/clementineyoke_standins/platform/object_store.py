"""In-memory store of versioned objects."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

PAGE_OBJECTS = 200


class ObjectVersion(NamedTuple):
    """Content of an object, its version and the store revision of its last write."""

    body: bytes
    version: int
    revision: int


class ObjectStore:
    """Object store with conditional writes and a revision for watches."""

    def __init__(self) -> None:
        self._objects: dict[str, ObjectVersion] = {}
        self.revision = 0
        self.changed = asyncio.Condition()

    def read(self, name: str) -> ObjectVersion | None:
        """Return the object with a name, or None."""
        return self._objects.get(name)

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write an object and return its new version, or 0 on a version conflict."""
        stored = self._objects.get(name)
        version = 0 if stored is None else stored.version
        if version != expected_version:
            return 0
        self.revision += 1
        self._objects[name] = ObjectVersion(body, version + 1, self.revision)
        async with self.changed:
            self.changed.notify_all()
        return version + 1

    def list_after(self, prefix: str, after: str) -> list[tuple[str, ObjectVersion]]:
        """Return a page of objects under a prefix, with names after ``after``."""
        names = sorted(n for n in self._objects if n.startswith(prefix) and n > after)
        return [(name, self._objects[name]) for name in names[:PAGE_OBJECTS]]

    def written_after(
        self, prefix: str, revision: int
    ) -> list[tuple[str, ObjectVersion]]:
        """Return the objects under a prefix that were written after a revision."""
        return [
            (name, stored)
            for name, stored in sorted(self._objects.items())
            if name.startswith(prefix) and stored.revision > revision
        ]
