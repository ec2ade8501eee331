"""Encodes and decodes what the store keeps for streams that callers resume."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from clementineyoke_node.platform.entry_codec import MAX_VERSION_LENGTH
from clementineyoke_node.platform.format_error import FormatError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from clementineyoke_node.platform.store_page import StoredEntry

HEX = 16
MAX_VERSIONS = 4_096
"""Versions of all pools together, which nodes tell each other."""
_KEY = re.compile(r"[0-9a-f]{1,16}")
"""64 bits in hex, as in messages between nodes."""


class ArchivedStream(NamedTuple):
    """A stream and the version that began it."""

    key: int
    pool: int
    """Hash of the pool's name."""
    version: str


class _VersionsSpec(msgspec.Struct):
    versions: dict[str, list[str]]


class _StreamsSpec(msgspec.Struct):
    streams: list[tuple[str, str, str]]
    """Key and pool in hex, and the version."""


def encode_versions(versions: Mapping[str, Iterable[str]]) -> dict[str, Any]:
    """Return the object with the recent versions of all pools."""
    return {"versions": {pool: list(names) for pool, names in versions.items()}}


def decode_versions(entry: StoredEntry) -> dict[str, list[str]]:
    """Decode the recent versions of all pools; raises ``FormatError``."""
    try:
        spec = msgspec.json.decode(entry.spec, type=_VersionsSpec)
        _check_count(spec.versions)
    except (ValueError, RecursionError) as error:
        raise FormatError(
            step="decode_versions", peer=entry.name, reason=str(error)
        ) from error
    return {
        pool: [name[:MAX_VERSION_LENGTH] for name in names]
        for pool, names in spec.versions.items()
    }


def encode_streams(streams: Iterable[ArchivedStream]) -> dict[str, Any]:
    """Return the object with a node's streams under way."""
    rows = [[f"{s.key:x}", f"{s.pool:x}", s.version] for s in streams]
    return {"streams": rows}


def decode_streams(entry: StoredEntry) -> list[ArchivedStream]:
    """Decode a node's streams under way; raises ``FormatError``."""
    try:
        spec = msgspec.json.decode(entry.spec, type=_StreamsSpec)
        return [
            ArchivedStream(
                _decode_key(key), _decode_key(pool), version[:MAX_VERSION_LENGTH]
            )
            for key, pool, version in spec.streams
        ]
    except (ValueError, RecursionError) as error:
        raise FormatError(
            step="decode_streams", peer=entry.name, reason=str(error)
        ) from error


def _check_count(versions: Mapping[str, Sequence[str]]) -> None:
    count = sum(map(len, versions.values()))
    if max(count, len(versions)) > MAX_VERSIONS:
        message = f"{count} versions of {len(versions)} pools, over {MAX_VERSIONS}"
        raise ValueError(message)


def _decode_key(text: str) -> int:
    if not _KEY.fullmatch(text):
        message = f"a key of {len(text)} characters that is not 64 bits in hex"
        raise ValueError(message)
    return int(text, HEX)
