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
from clementineyoke_node.objects.object_api import NO_OBJECT
from clementineyoke_node.objects.platform_error import PlatformError

if TYPE_CHECKING:
    from clementineyoke_core.claims.segment import ChainHead
    from clementineyoke_node.objects.object_api import ObjectApi


class ChainStore:
    """Know where a shard's objects lie."""

    def __init__(self, *, shard: str, objects: ObjectApi) -> None:
        self._shard = shard
        self._objects = objects

    async def read(self) -> ChainRead:
        """Return head and segments; raises ``PlatformError`` or ``DecodeError``.

        The reads are not one moment's. Sealed segments never change, and a write
        against an open segment or a head that has moved on is refused.
        """
        stored = await self._objects.read(head_name(self._shard))
        head = INITIAL_HEAD if stored is None else decode_head(stored.body)
        version = NO_OBJECT if stored is None else stored.version
        numbers = range(head.first, head.open + 1)
        segments = await asyncio.gather(
            *(self._read_segment(head, number) for number in numbers)
        )
        return ChainRead(version, head, dict(zip(numbers, segments, strict=True)))

    async def _read_segment(self, head: ChainHead, number: int) -> StoredSegment:
        name = segment_name(self._shard, number)
        stored = await self._objects.read(name)
        if stored is None:
            return StoredSegment(NO_OBJECT, None)
        segment = decode_segment(stored.body)
        if segment.number == number:
            return StoredSegment(stored.version, segment)
        if number != head.open or segment.number > number:
            # The ring has gone round since the head was read.
            raise PlatformError(step="read", peer=name, reason="the head has moved on")
        return StoredSegment(stored.version, None)
