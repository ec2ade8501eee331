"""A shard's objects on the platform: a head, and a ring of segments of claims."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from clementineyoke_core.claims.record import ClaimRecord  # noqa: TC001 (msgspec)

RING_SLOTS = 40
"""Segments a shard may have alive; a slot is used again when its segment expired."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Claims of one span of time. Once sealed it is never written again."""

    number: int
    opened_at_ms: int
    is_sealed: bool
    records: dict[str, ClaimRecord]


class ChainHead(msgspec.Struct, frozen=True, array_like=True):
    """The numbers of the oldest segment alive and of the open one."""

    first: int
    open: int


INITIAL_HEAD = ChainHead(0, 0)
"""Holds where no head has been written yet."""


class StoredSegment(NamedTuple):
    """A ring slot as read: its version, and its segment if it holds one."""

    version: int
    segment: Segment | None


class ChainRead(NamedTuple):
    """Everything that a home reads of a shard."""

    head_version: int
    head: ChainHead
    segments: dict[int, StoredSegment]
    """By segment number, from the head's first to its open one."""


_encoder = msgspec.msgpack.Encoder()
_segment_decoder = msgspec.msgpack.Decoder(Segment)
_head_decoder = msgspec.msgpack.Decoder(ChainHead)


def head_name(shard: str) -> str:
    """Return the name of a shard's head object."""
    return f"{shard}/head"


def segment_name(shard: str, number: int) -> str:
    """Return the name of the ring slot that a segment lies in."""
    return f"{shard}/{number % RING_SLOTS:02d}"


def encode(value: Segment | ChainHead) -> bytes:
    """Return the bytes of an object."""
    return _encoder.encode(value)


def decode_segment(body: bytes) -> Segment:
    """Read a segment; raises ``msgspec.DecodeError`` on anything else."""
    return _segment_decoder.decode(body)


def decode_head(body: bytes) -> ChainHead:
    """Read a head; raises ``msgspec.DecodeError`` on anything else."""
    return _head_decoder.decode(body)
