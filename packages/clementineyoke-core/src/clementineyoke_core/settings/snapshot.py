"""Snapshot of the settings tree, split into parts that fit the platform's values."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_PART_BYTES = 700_000
"""Below the platform's limit of one megabyte per value."""
ENTRY_OVERHEAD_BYTES = 16


class SettingsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The tree at one version: own values by path, encoded as in the tree."""

    version: int
    packed: dict[str, bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SettingsSnapshot)


def encode_parts(
    snapshot: SettingsSnapshot, *, max_part_bytes: int = MAX_PART_BYTES
) -> list[bytes]:
    """Encode the snapshot as one or more values below the given size."""
    return [
        _encoder.encode(SettingsSnapshot(version=snapshot.version, packed=packed))
        for packed in _split(snapshot.packed, max_part_bytes)
    ]


def decode_parts(parts: list[bytes]) -> SettingsSnapshot:
    """Join parts; raise ``msgspec.DecodeError`` if they are not of one version.

    Parts are written one by one, so a reader may get parts of two versions.
    """
    decoded = [_decoder.decode(part) for part in parts]
    versions = {part.version for part in decoded}
    if len(versions) != 1:
        message = f"parts of {len(versions)} versions"
        raise msgspec.DecodeError(message)
    packed: dict[str, bytes] = {}
    for part in decoded:
        packed.update(part.packed)
    return SettingsSnapshot(version=versions.pop(), packed=packed)


def _split(packed: dict[str, bytes], max_part_bytes: int) -> Iterator[dict[str, bytes]]:
    part: dict[str, bytes] = {}
    size_bytes = 0
    for path, values in packed.items():
        entry_bytes = len(path.encode()) + len(values) + ENTRY_OVERHEAD_BYTES
        if part and size_bytes + entry_bytes > max_part_bytes:
            yield part
            part, size_bytes = {}, 0
        part[path] = values
        size_bytes += entry_bytes
    yield part
