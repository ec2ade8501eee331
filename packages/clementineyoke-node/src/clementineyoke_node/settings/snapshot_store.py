"""Settings snapshots on the platform: parts per version, and a head naming one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from clementineyoke_core.settings.snapshot import (
    SettingsSnapshot,
    decode_parts,
    encode_parts,
)
from clementineyoke_node.objects.object_api import VERSION_ABSENT
from clementineyoke_node.objects.platform_error import (
    PlatformError,
    VersionConflictError,
)

if TYPE_CHECKING:
    from clementineyoke_node.objects.object_api import ObjectApi

HEAD_NAME = "settings/snapshot"


class SnapshotHead(msgspec.Struct, frozen=True):
    """The latest snapshot of which all parts are stored."""

    version: int
    parts: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(SnapshotHead)


class SnapshotStore:
    """Stores a snapshot's parts first and the head that refers to them last.

    A writer that crashes in between leaves only unreferenced parts. Two writers of the
    same version write the same bytes; of two versions the head keeps the newer one.
    """

    def __init__(self, *, objects: ObjectApi) -> None:
        self._objects = objects

    async def read_newer(self, version: int) -> SettingsSnapshot | None:
        """Return the latest snapshot if it is newer than ``version``, or None.

        Raises ``PlatformError`` or ``msgspec.DecodeError``.
        """
        stored = await self._objects.read(HEAD_NAME)
        if stored is None:
            return None
        head = _decoder.decode(stored.body)
        if head.version <= version:
            return None
        parts = [await self._read_part(head, index) for index in range(head.parts)]
        return decode_parts(parts)

    async def write(self, snapshot: SettingsSnapshot) -> bool:
        """Write a snapshot; return False if the stored one is at least as new."""
        stored = await self._objects.read(HEAD_NAME)
        if stored is not None and _version_of(stored.body) >= snapshot.version:
            return False
        parts = encode_parts(snapshot)
        for index, part in enumerate(parts):
            await self._write_part(snapshot.version, index, part)
        head = SnapshotHead(snapshot.version, len(parts))
        expected = VERSION_ABSENT if stored is None else stored.version
        try:
            await self._objects.write(
                HEAD_NAME, _encoder.encode(head), expected_version=expected
            )
        except VersionConflictError:
            return False
        return True

    async def _write_part(self, version: int, index: int, part: bytes) -> None:
        try:
            name = _part_name(version, index)
            await self._objects.write(name, part, expected_version=VERSION_ABSENT)
        except VersionConflictError:
            # Already stored; all writers of a version write the same bytes.
            return

    async def _read_part(self, head: SnapshotHead, index: int) -> bytes:
        name = _part_name(head.version, index)
        stored = await self._objects.read(name)
        if stored is None:
            raise PlatformError(step="read", peer=name, reason="a part is missing")
        return stored.body


def _version_of(head: bytes) -> int:
    return _decoder.decode(head).version


def _part_name(version: int, index: int) -> str:
    return f"settings/snapshots/{version:012d}/{index:04d}"
