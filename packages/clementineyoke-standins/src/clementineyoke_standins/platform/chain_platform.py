"""In-memory fake of the platform objects that a claim chain reads and writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.claims.segment import (
    INITIAL_HEAD,
    ChainRead,
    StoredSegment,
    decode_head,
    decode_segment,
    head_name,
    segment_name,
)

if TYPE_CHECKING:
    from clementineyoke_core.claims.chain import ChainWrite


class ChainPlatform:
    """Stores the versioned objects of one shard, without network or delay."""

    def __init__(self, *, shard: str) -> None:
        self._shard = shard
        self.objects: dict[str, tuple[int, bytes]] = {}

    def apply_write(self, write: ChainWrite) -> int | None:
        """Apply a write and return the new version, or None on a version conflict."""
        version, _ = self.objects.get(write.name, (0, b""))
        if version != write.expected_version:
            return None
        self.objects[write.name] = (version + 1, write.body)
        return version + 1

    def read(self) -> ChainRead:
        """Return the head and all of its segments, read atomically."""
        version, body = self.objects.get(head_name(self._shard), (0, b""))
        head = decode_head(body) if version else INITIAL_HEAD
        numbers = range(head.first, head.open + 1)
        return ChainRead(version, head, {n: self._read_segment(n) for n in numbers})

    def _read_segment(self, number: int) -> StoredSegment:
        version, body = self.objects.get(segment_name(self._shard, number), (0, b""))
        segment = decode_segment(body) if version else None
        if segment is not None and segment.number != number:
            segment = None
        return StoredSegment(version, segment)
