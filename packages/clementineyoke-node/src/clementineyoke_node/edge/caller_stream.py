"""A caller's event stream, produced by one runner or by several in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.capacity.event_pace import EventPace
from clementineyoke_core.edge.event_splitter import EventSplitter
from clementineyoke_core.edge.stream_sequence import StreamSequence
from clementineyoke_node.platform.runner_codec import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_node.platform.runner_codec import ResponseHead


class CallerStream:
    """Writes a streamed response to a caller: complete events, in order, each once."""

    def __init__(self, *, request: web.Request, last_event_id: int | None) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._splitter = EventSplitter()
        self._sequence = StreamSequence(last_event_id=last_event_id)
        self.sent_event_count = 0
        self.version: str | None = None
        """Software version of the runner that produced its events, None if unknown."""
        self.active_ms = 0.0
        """Time of the last data from a runner, or of the start."""
        self.pace = EventPace()
        """Pace of the runner that sends the stream at present."""
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
    def end_fault(self) -> str | None:
        """Why the runner's data so far is not the rest of the stream, or None."""
        if self._splitter.has_partial_event:
            return "the stream stopped within an event"
        if self._sequence.ends_early:
            return "the stream stopped before the event at which it was to go on"
        return None

    async def start(self, head: ResponseHead, *, is_leaving: bool) -> None:
        """Start to relay a runner's stream; only the first runner's head is sent."""
        self._splitter = EventSplitter()
        self._sequence.begin_run()
        self.pace = EventPace()
        self.body_end = head.body_end
        if self._response is not None:
            return
        response = web.StreamResponse(status=head.status)
        for name, value in head.forwarded_headers:
            response.headers.add(name, value)
        if is_leaving:
            response.force_close()
        self._response = response
        await response.prepare(self._request)

    async def write_chunk(
        self, chunk: bytes, *, on_begin: Callable[[], None] = lambda: None
    ) -> int:
        """Write the events that a chunk completes, and return their number.

        ``on_begin`` is called before the first event of the response is written. Raises
        ``StreamGapError`` if the runner has left out events.
        """
        events = [
            event
            for event in self._splitter.feed(chunk)
            if self._sequence.accept(event.event_id)
        ]
        if events and not self.sent_event_count:
            on_begin()
        if events and self._response is not None:
            await self._response.write(b"".join(event.body for event in events))
        self.sent_event_count += len(events)
        return len(events)

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

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the caller sees an incomplete response."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response
