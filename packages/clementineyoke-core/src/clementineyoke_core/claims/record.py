"""What the platform keeps of one claim."""

from __future__ import annotations

import msgspec


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A finished call's answer, small enough to keep for a repeat."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a key since when, and the answer once there is one."""

    holder: str
    """Unique to one request at one node's incarnation; never used again."""
    request_digest: str
    claimed_at_ms: int
    """Wall clock of the home that wrote it."""
    finished: bool = False
    answer: KeptAnswer | None = None
    """None though finished: the answer was too large to keep."""


class ShardBody(msgspec.Struct, frozen=True, array_like=True):
    """The whole value of one shard's object."""

    records: dict[str, ClaimRecord]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ShardBody)


def encode_shard(records: dict[str, ClaimRecord]) -> bytes:
    """Return the bytes of a shard's object."""
    return _encoder.encode(ShardBody(records))


def decode_shard(body: bytes) -> dict[str, ClaimRecord]:
    """Read a shard's object; raises ``msgspec.DecodeError`` on anything else."""
    return _decoder.decode(body).records
