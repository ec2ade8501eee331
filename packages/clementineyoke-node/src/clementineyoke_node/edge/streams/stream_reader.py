"""Reads the part of a stream that the caller lacks, and checks that it is that part."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import aiohttp

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_core.edge.streams.stream_sequence import StreamGapError
from clementineyoke_node.bounds.byte_limit_error import ByteKind
from clementineyoke_node.edge.attempt_error import AttemptError

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from clementineyoke_core.edge.event_splitter import StreamEvent
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.runner_response import OpenResponse
    from clementineyoke_node.timers.timer_service import TimerService

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
        deadline_ms: float,
        timers: TimerService,
    ) -> None:
        self.response = response
        self._content = response.client_response.content
        self._stream = stream
        self._peer = peer
        self._byte_limits = byte_limits
        self._deadline_ms = deadline_ms
        self._timers = timers
        self._holding = byte_limits.held.open()
        """Accounts for the bytes of an unfinished event."""

    def __enter__(self) -> Self:
        """Return the reader."""
        return self

    def __exit__(self, exc_type: type[BaseException] | None, *exc_info: object) -> None:
        """Release what it holds, after a failure the unfinished event as well."""
        if exc_type is not None:
            self._stream.drop_pending()
        self._holding.close()

    async def next_events(
        self, timeout: AbstractAsyncContextManager[object]
    ) -> list[StreamEvent] | None:
        """Return the next events that the caller lacks, or None at the stream's end.

        Comments and parts of events do not end the timeout: a runner that sends these
        alone is as late as one that is silent. Raises ``AttemptError``, also for a
        stream that goes on long after its deadline, or ends before the break.
        """
        self._check_time()
        try:
            async with timeout:
                while chunk := await self._content.readany():
                    events = self._stream.feed(chunk)
                    if events is not None:
                        self._holding.close()
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
            raise AttemptError.lost(error, step="relay", peer=self._peer) from error
        self._check_end()
        return None

    def _hold_pending(self) -> None:
        self._byte_limits.resize(
            self._holding,
            self._stream.pending_bytes,
            peer=self._peer,
            kind=ByteKind.EVENT,
        )

    def _check_time(self) -> None:
        """Time for which the caller has kept the stream waiting does not count."""
        late_ms = self._timers.now_ms() - self._deadline_ms
        if late_ms - self._stream.write_wait_ms > LATE_END_MS:
            raise AttemptError(
                outcome=AttemptOutcome.LOST,
                step="relay",
                peer=self._peer,
                reason="the stream goes on after its deadline",
            )

    def _check_end(self) -> None:
        if self._stream.end_fault is not None:
            raise AttemptError(
                outcome=AttemptOutcome.LOST,
                step="relay",
                peer=self._peer,
                reason=self._stream.end_fault,
                is_connection_lost=True,
            )
