"""Read a shard's head and segments from the platform."""

from __future__ import annotations

import asyncio
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
from clementineyoke_node.objects.object_api import VERSION_ABSENT
from clementineyoke_node.objects.platform_error import PlatformError

if TYPE_CHECKING:
    from clementineyoke_core.claims.segment import ChainHead
    from clementineyoke_node.objects.object_api import ObjectApi


class ChainStore:
    """Reads the objects of one claim shard."""

    def __init__(self, *, shard: str, objects: ObjectApi) -> None:
        self._shard = shard
        self._objects = objects

    async def read(self) -> ChainRead:
        """Return the head and its segments.

        The reads are not atomic. This is safe because sealed segments never change, and
        a write based on an outdated open segment or head is refused.

        Raises ``PlatformError`` or ``msgspec.DecodeError``.
        """
        stored = await self._objects.read(head_name(self._shard))
        head = INITIAL_HEAD if stored is None else decode_head(stored.body)
        version = VERSION_ABSENT if stored is None else stored.version
        numbers = range(head.first, head.open + 1)
        segments = await asyncio.gather(
            *(self._read_segment(head, number) for number in numbers)
        )
        return ChainRead(version, head, dict(zip(numbers, segments, strict=True)))

    async def _read_segment(self, head: ChainHead, number: int) -> StoredSegment:
        name = segment_name(self._shard, number)
        stored = await self._objects.read(name)
        if stored is None:
            return StoredSegment(VERSION_ABSENT, None)
        segment = decode_segment(stored.body)
        if segment.number == number:
            return StoredSegment(stored.version, segment)
        if number != head.open or segment.number > number:
            # The object was reused for another segment after the head was read.
            raise PlatformError(
                step="read",
                peer=name,
                reason="the head has moved on",
            )
        return StoredSegment(stored.version, None)
