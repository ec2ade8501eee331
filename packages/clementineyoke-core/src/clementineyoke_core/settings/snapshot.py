"""The whole tree at one version, in parts that fit the platform's values."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

LARGEST_PART_BYTES = 700_000
"""Well under the platform's megabyte a value."""
ENTRY_OVERHEAD_BYTES = 16


class SettingsSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Own values by path, packed as the tree holds them."""

    version: int
    packed: dict[str, bytes]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SettingsSnapshot)


def encode_parts(
    snapshot: SettingsSnapshot, *, largest_bytes: int = LARGEST_PART_BYTES
) -> list[bytes]:
    """Return the snapshot as one or more values, none above the given size."""
    return [
        _encoder.encode(SettingsSnapshot(version=snapshot.version, packed=packed))
        for packed in _split(snapshot.packed, largest_bytes)
    ]


def decode_parts(parts: list[bytes]) -> SettingsSnapshot:
    """Join parts again; raises ``msgspec.DecodeError`` if they do not belong together.

    Parts are written one by one, so a reader may meet those of two versions.
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


def _split(packed: dict[str, bytes], largest_bytes: int) -> Iterator[dict[str, bytes]]:
    part: dict[str, bytes] = {}
    size_bytes = 0
    for path, values in packed.items():
        entry_bytes = len(path.encode()) + len(values) + ENTRY_OVERHEAD_BYTES
        if part and size_bytes + entry_bytes > largest_bytes:
            yield part
            part, size_bytes = {}, 0
        part[path] = values
        size_bytes += entry_bytes
    yield part
