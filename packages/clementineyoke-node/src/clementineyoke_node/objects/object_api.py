"""The platform's object API as the fleet uses it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

NO_OBJECT = 0
"""The version of an object that does not exist."""


class StoredObject(NamedTuple):
    """An object's bytes and version."""

    name: str
    version: int
    body: bytes


class WatchResult(NamedTuple):
    """The objects that changed, and where to watch on from."""

    revision: int
    objects: list[StoredObject]


class ObjectApi(Protocol):
    """Versions, conditional updates and watches. Every call may raise PlatformError."""

    async def read(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        ...

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write if the version is as expected and return the new one.

        Raises ``VersionConflictError`` when it is not; any other ``PlatformError``
        leaves open whether the write took effect.
        """
        ...

    async def list_after(self, prefix: str, after: str) -> list[StoredObject]:
        """Return objects of a prefix with names after a name, in order, a page."""
        ...

    async def watch(self, prefix: str, *, after_revision: int) -> WatchResult:
        """Wait until objects of a prefix change; returns empty when it waited long."""
        ...
