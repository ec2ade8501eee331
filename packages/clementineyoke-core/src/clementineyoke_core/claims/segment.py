"""Objects of a shard on the platform: a head, and a ring of segments of claims."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from clementineyoke_core.claims.record import ClaimRecord  # noqa: TC001 (msgspec)

MAX_SEGMENTS = 40
"""Limit of retained segments per shard; a slot is reused after its segment expired."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Claims of one span of time; never written again once sealed."""

    number: int
    opened_at_ms: int
    is_sealed: bool
    records: dict[str, ClaimRecord]


class ChainHead(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of the oldest retained segment and of the open one."""

    first: int
    open: int


INITIAL_HEAD = ChainHead(0, 0)
"""Head of a shard without a head object."""


class StoredSegment(NamedTuple):
    """A ring slot as read: its version, and its segment if it has one."""

    version: int
    segment: Segment | None


class ChainRead(NamedTuple):
    """A shard as read by its home."""

    head_version: int
    head: ChainHead
    segments: dict[int, StoredSegment]
    """Segments by number, from the head's first to its open one."""


_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_head_decoder = msgspec.msgpack.Decoder(ChainHead)


def head_name(shard: str) -> str:
    """Return the name of a shard's head object."""
    return f"{shard}/head"


def segment_name(shard: str, number: int) -> str:
    """Return the name of the object in whose ring slot a segment is stored."""
    return f"{shard}/{number % MAX_SEGMENTS:02d}"


def encode(value: Segment | ChainHead) -> bytes:
    """Encode a segment or head for the platform."""
    return _encoder.encode(value)


def decode_segment(body: bytes) -> Segment:
    """Decode a segment; raise ``msgspec.DecodeError`` if the body is not one."""
    return _segment_decoder.decode(body)


def decode_head(body: bytes) -> ChainHead:
    """Decode a head; raise ``msgspec.DecodeError`` if the body is not one."""
    return _head_decoder.decode(body)
