"""The bounds of a node on what it holds of others, and records of what it refuses."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from clementineyoke_core.edge.held_bytes import HeldBytes, HoldLimitError
from clementineyoke_node.bounds.byte_limit_error import ByteKind, ByteLimitError
from clementineyoke_node.bounds.malformed_head_error import MalformedHeadError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import StreamReader

    from clementineyoke_core.edge.held_bytes import Holding
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_wire.response_head import HeadError

DEFAULT_MAX_ANSWER_BYTES = 4_194_304
DEFAULT_MAX_HELD_BYTES = 16_777_216
CONTROL_ANSWERS = 2
"""Longest responses of the store and of peers that are held at once."""


class ByteLimits:
    """Share the bounds on held bytes between all connections of a node."""

    def __init__(
        self, *, max_answer_bytes: int, max_held_bytes: int, metrics: Metrics
    ) -> None:
        """Create the limits.

        ``max_answer_bytes`` bounds what is held for one response, ``max_held_bytes``
        what is held for all callers. The store and peers have a total of their own:
        answers must not keep a node from what is to come into force.
        """
        self.held = HeldBytes(
            max_each_bytes=max_answer_bytes, max_total_bytes=max_held_bytes
        )
        self._control_held = HeldBytes(
            max_each_bytes=max_answer_bytes,
            max_total_bytes=CONTROL_ANSWERS * max_answer_bytes,
        )
        self._metrics = metrics

    @property
    def max_answer_bytes(self) -> int:
        """What is held for one response at most."""
        return self.held.max_each_bytes

    def resize(
        self,
        holding: Holding,
        size_bytes: int,
        *,
        peer: str,
        kind: ByteKind = ByteKind.BODY,
    ) -> None:
        """Resize a holding; raises ``ByteLimitError`` if that is too much."""
        try:
            holding.resize(size_bytes)
        except HoldLimitError as error:
            exceeded = ByteKind.TOTAL if error.is_total else kind
            raise self.refuse(
                exceeded, size_bytes=error.size_bytes, peer=peer
            ) from error

    def refuse(self, kind: ByteKind, *, size_bytes: int, peer: str) -> ByteLimitError:
        """Log and count a response that exceeds a bound, and return its error."""
        self._metrics.bytes_refused.inc({"kind": kind.value})
        log_event(
            Event.BYTES_REFUSED, kind=kind.value, peer=peer, size_bytes=size_bytes
        )
        return ByteLimitError(kind, size_bytes=size_bytes)

    def refuse_head(self, error: HeadError, *, peer: str) -> MalformedHeadError:
        """Log and count a head that breaks the grammar, and return its error."""
        self._metrics.heads_refused.inc({})
        log_event(Event.HEAD_REFUSED, peer=peer, reason=str(error))
        return MalformedHeadError(str(error))

    async def read(self, content: StreamReader, *, peer: str) -> bytes:
        """Read a body of the store or a peer, which is decoded at once.

        Raises ``ByteLimitError`` if it is too long to hold.
        """
        with self._control_held.open() as holding:
            return b"".join(await self.read_parts(content, holding, peer=peer))

    async def read_parts(
        self, content: StreamReader, holding: Holding, *, peer: str
    ) -> list[bytes]:
        """Read a body to its end, and hold it; raises ``ByteLimitError`` like above."""
        return await _read_parts(content, partial(self.resize, holding, peer=peer))


async def read_at_most(content: StreamReader, max_bytes: int) -> bytes:
    """Read a body that is held alone; raises ``ByteLimitError`` if it is longer."""

    def check_size(size_bytes: int) -> None:
        if size_bytes > max_bytes:
            raise ByteLimitError(ByteKind.BODY, size_bytes=size_bytes)

    return b"".join(await _read_parts(content, check_size))


async def _read_parts(
    content: StreamReader, check_size: Callable[[int], None]
) -> list[bytes]:
    parts: list[bytes] = []
    size_bytes = 0
    try:
        while part := await content.readany():
            size_bytes += len(part)
            check_size(size_bytes)
            parts.append(part)
    except BaseException:
        # The error's traceback refers to this frame for as long as the error is kept.
        parts.clear()
        raise
    return parts
