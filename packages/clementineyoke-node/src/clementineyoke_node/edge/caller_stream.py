"""A caller's event stream, produced by one runner or by several in turn."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.capacity.event_pace import EventPace
from clementineyoke_core.edge.event_splitter import EventSplitter
from clementineyoke_core.edge.streams.stream_sequence import StreamSequence
from clementineyoke_wire.response_head import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from clementineyoke_core.edge.event_splitter import StreamEvent
    from clementineyoke_core.edge.streams.stream_steps import RunSteps
    from clementineyoke_node.platform.runner_codec import ResponseHead

MS_PER_S = 1000.0


class CallerStream:
    """Writes a streamed response to a caller: complete events, in order, each once."""

    def __init__(self, *, request: web.Request, last_event_id: int | None) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._splitter = EventSplitter()
        self._sequence = StreamSequence(last_event_id=last_event_id)
        self.sent_event_count = 0
        self.unwritten_event_count = 0
        """Events that were read from the present runner and not written."""
        self.write_wait_ms = 0.0
        """Time for which the caller has kept the stream waiting."""
        self.version: str | None = None
        """Software version of the runner that produced its events, None if unknown."""
        self.active_ms = 0.0
        """Time of the last data from a runner, or of the start."""
        self.pace = EventPace()
        """Pace of the runner that sends the stream at present."""
        self._doubted_end_ids: set[int | None] = set()
        self.body_end = BodyEnd.CHUNKS
        """What marks the end of the response of the runner that sends it at present."""

    @property
    def has_started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._response is not None

    @property
    def status(self) -> int | None:
        """The status that the caller has been sent; None before the head."""
        return None if self._response is None else self._response.status

    @property
    def last_event_id(self) -> int | None:
        """The id of the last event that the caller has."""
        return self._sequence.last_event_id

    @property
    def has_position(self) -> bool:
        """Whether a runner can be told after which event it is to go on."""
        return self._sequence.has_position

    @property
    def has_confirmed_end(self) -> bool:
        """Whether another runner has ended the answer at the same event before.

        An answer without events has only one end.
        """
        return self.last_event_id in self._doubted_end_ids

    def record_doubted_end(self) -> None:
        """Record that there is a slight doubt whether the answer ends here."""
        self._doubted_end_ids.add(self.last_event_id)

    @property
    def end_fault(self) -> str | None:
        """Why the runner's data so far is not the rest of the stream, or None."""
        if self._splitter.has_partial_event:
            return "the stream stopped within an event"
        if self._sequence.ends_early:
            return "the stream stopped before the event at which it was to go on"
        if self._lacks_all_events and self.body_end is BodyEnd.CONNECTION:
            return "the connection of the stream ended before the first event"
        return None

    @property
    def _lacks_all_events(self) -> bool:
        """Whether the caller has no event; the rest of a stream may be empty."""
        return not self.sent_event_count and self.last_event_id is None

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that the runner has sent since its last whole event."""
        return self._splitter.pending_bytes

    async def start(
        self, head: ResponseHead, *, is_leaving: bool, steps: RunSteps | None = None
    ) -> None:
        """Start to relay a runner's stream; only the first runner's head is sent."""
        self._splitter = EventSplitter()
        self._sequence.begin_run(steps)
        self.pace = EventPace()
        self.body_end = head.body_end
        if self._response is not None:
            return
        await self._start_response(head, length_bytes=None, is_leaving=is_leaving)

    async def start_whole(
        self, head: ResponseHead, *, length_bytes: int | None, is_leaving: bool
    ) -> None:
        """Start to relay a response of a known length, which no other one can go on."""
        self.body_end = head.body_end
        await self._start_response(
            head, length_bytes=length_bytes, is_leaving=is_leaving
        )

    def drop_pending(self) -> None:
        """Forget what the runner has sent since its last whole event."""
        self._splitter = EventSplitter()

    def feed(self, chunk: bytes) -> list[StreamEvent] | None:
        """Return those events that a chunk completes and the caller does not have.

        Returns None if the chunk completes no event. Raises ``StreamGapError`` if the
        runner has left out events.
        """
        events = self._splitter.feed(chunk)
        if not events:
            return None
        missing = [e for e in events if self._sequence.accept(e.event_id)]
        self.unwritten_event_count += len(missing)
        return missing

    async def write_events(
        self,
        events: Sequence[StreamEvent],
        *,
        on_begin: Callable[[], None] = lambda: None,
    ) -> None:
        """Write events; ``on_begin`` is called before the first one of the response."""
        if not events:
            return
        if not self.sent_event_count:
            on_begin()
        if self._response is not None:
            started_s = time.monotonic()
            await self._response.write(b"".join(event.body for event in events))
            self.write_wait_ms += (time.monotonic() - started_s) * MS_PER_S
        self._sequence.record_written(event.event_id for event in events)
        self.sent_event_count += len(events)
        self.unwritten_event_count -= len(events)

    @property
    def response(self) -> web.StreamResponse:
        """The response that was started; raises ``RuntimeError`` if there is none."""
        if self._response is None:
            message = "the stream has not started"
            raise RuntimeError(message)
        return self._response

    async def finish(self) -> None:
        """End the response as complete."""
        await self.response.write_eof(self._splitter.take_comments())
        self._sequence.record_end()

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the caller sees an incomplete response."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    async def _start_response(
        self, head: ResponseHead, *, length_bytes: int | None, is_leaving: bool
    ) -> None:
        response = web.StreamResponse(status=head.status)
        for name, value in head.forwarded_headers:
            response.headers.add(name, value)
        if length_bytes is not None:
            response.content_length = length_bytes
        if is_leaving:
            response.force_close()
        self._response = response
        await response.prepare(self._request)
