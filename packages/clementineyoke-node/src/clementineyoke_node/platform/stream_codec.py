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
MAX_DOUBTS = 1_024
MAX_PLACES = 4_096
"""Pools of all places together; keeps the object below the store's limit of 1 MB."""
_KEY = re.compile(r"[0-9a-f]{1,16}")
"""64 bits in hex, as in messages between nodes."""


class ArchivedStream(NamedTuple):
    """A stream and the version that began it."""

    key: int
    pool: int
    """Hash of the pool's name."""
    version: str


class ArchivedPools(NamedTuple):
    """What may have begun streams lately."""

    versions: dict[str, list[str]]
    """Versions of each pool."""
    places: dict[str, list[str]] | None
    """Pools of each host name and path prefix; None if they are not stored."""
    doubts: tuple[str, ...] = ()
    """Lifetimes of runners that may have ended although their entries are in force."""


class _PoolsSpec(msgspec.Struct):
    versions: dict[str, list[str]]
    places: dict[str, list[str]] | None = None
    doubts: tuple[str, ...] = ()


class _StreamsSpec(msgspec.Struct):
    streams: list[tuple[str, str, str]]
    """Key and pool in hex, and the version."""


def encode_pools(pools: ArchivedPools) -> dict[str, Any]:
    """Return the object with the recent versions and places of all pools."""
    spec: dict[str, Any] = {"versions": pools.versions}
    if pools.places is not None and _count(pools.places) <= MAX_PLACES:
        spec["places"] = pools.places
    if pools.doubts:
        spec["doubts"] = pools.doubts[:MAX_DOUBTS]
    return spec


def decode_pools(entry: StoredEntry) -> ArchivedPools:
    """Decode the recent versions and places of all pools; raises ``FormatError``."""
    try:
        spec = msgspec.json.decode(entry.spec, type=_PoolsSpec)
        _check_count("versions", spec.versions, MAX_VERSIONS)
        _check_count("places", spec.places or {}, MAX_PLACES)
        _check_count("doubts", {"": spec.doubts}, MAX_DOUBTS)
    except (ValueError, RecursionError) as error:
        raise FormatError(
            step="decode_pools", peer=entry.name, reason=str(error)
        ) from error
    versions = {
        pool: [name[:MAX_VERSION_LENGTH] for name in names]
        for pool, names in spec.versions.items()
    }
    return ArchivedPools(versions, spec.places, spec.doubts)


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


def _count(lists: Mapping[str, Sequence[str]]) -> int:
    return max(len(lists), sum(map(len, lists.values())))


def _check_count(what: str, lists: Mapping[str, Sequence[str]], limit: int) -> None:
    if _count(lists) > limit:
        message = f"{_count(lists)} {what} in {len(lists)} entries, over {limit}"
        raise ValueError(message)


def _decode_key(text: str) -> int:
    if not _KEY.fullmatch(text):
        message = f"a key of {len(text)} characters that is not 64 bits in hex"
        raise ValueError(message)
    return int(text, HEX)
