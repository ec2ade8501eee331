"""Reads the part of a stream that the caller lacks, and checks that it is that part."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import aiohttp

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.stream_sequence import StreamGapError
from clementineyoke_node.bounds.byte_limit_error import ByteKind
from clementineyoke_node.edge.attempt_error import AttemptError

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from clementineyoke_core.edge.event_splitter import StreamEvent
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.runner_response import OpenResponse

LATE_END_MS = 500.0
"""How long after its deadline a stream may still get what its runner had ready."""


class EventReader:
    """Reads whole events from one runner, or peer, for a caller's stream."""

    def __init__(
        self,
        *,
        response: OpenResponse,
        stream: CallerStream,
        peer: str,
        byte_limits: ByteLimits,
    ) -> None:
        self.response = response
        self._content = response.client_response.content
        self._stream = stream
        self._peer = peer
        self._byte_limits = byte_limits
        self._holding = byte_limits.held.open()
        """Accounts for the bytes of an unfinished event."""

    def __enter__(self) -> Self:
        """Return the reader."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Release what it holds."""
        self._holding.close()

    async def next_events(
        self, timeout: AbstractAsyncContextManager[object]
    ) -> list[StreamEvent] | None:
        """Return the next events that the caller lacks, or None at the stream's end.

        Comments and parts of events do not end the timeout: a runner that sends these
        alone is as late as one that is silent. Raises ``AttemptError``.
        """
        try:
            async with timeout:
                while chunk := await self._content.readany():
                    events = self._stream.feed(chunk)
                    if events is not None:
                        return events
                    self._hold_pending()
        except StreamGapError as error:
            raise AttemptError(
                outcome=AttemptOutcome.FAILED,
                step="resume",
                peer=self._peer,
                reason=str(error),
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AttemptError(
                outcome=AttemptOutcome.LOST,
                step="relay",
                peer=self._peer,
                reason=repr(error),
                is_connection_lost=not isinstance(error, TimeoutError),
            ) from error
        return None

    def _hold_pending(self) -> None:
        pending_bytes = self._stream.pending_bytes
        if pending_bytes or self._holding.size_bytes:
            self._byte_limits.resize(
                self._holding, pending_bytes, peer=self._peer, kind=ByteKind.EVENT
            )


def check_time(
    stream: CallerStream, *, deadline_ms: float, now_ms: float, peer: str
) -> None:
    """Raise ``AttemptError`` if a stream goes on long after its deadline.

    Time for which the caller has kept the stream waiting does not count.
    """
    if now_ms - stream.write_wait_ms > deadline_ms + LATE_END_MS:
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step="relay",
            peer=peer,
            reason="the stream goes on after its deadline",
        )


def check_stream_end(stream: CallerStream, *, peer: str) -> None:
    """Raise ``AttemptError`` if the data so far is not the rest of the stream."""
    if stream.end_fault is not None:
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step="relay",
            peer=peer,
            reason=stream.end_fault,
            is_connection_lost=True,
        )
