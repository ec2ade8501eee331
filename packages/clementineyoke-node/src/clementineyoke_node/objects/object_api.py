"""Interface of the platform's object API."""

from __future__ import annotations

from typing import NamedTuple, Protocol

VERSION_ABSENT = 0
"""Version that stands for an object that does not exist."""


class StoredObject(NamedTuple):
    """An object's name, version and content."""

    name: str
    version: int
    body: bytes


class WatchResult(NamedTuple):
    """The changed objects, and the revision from which to continue watching."""

    revision: int
    objects: list[StoredObject]


class ObjectApi(Protocol):
    """Versioned objects with conditional writes and watches.

    Calls may raise ``PlatformError``.
    """

    async def read(self, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        ...

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write an object if its version matches, and return the new version.

        Raises ``VersionConflictError`` if it does not match. After any other
        ``PlatformError`` it is unknown whether the write took effect.
        """
        ...

    async def list_after(self, prefix: str, after: str) -> list[StoredObject]:
        """Return a page of objects with a prefix, sorted by name, after a name."""
        ...

    async def watch(self, prefix: str, *, after_revision: int) -> WatchResult:
        """Wait until objects with a prefix change; after a timeout return none."""
        ...
