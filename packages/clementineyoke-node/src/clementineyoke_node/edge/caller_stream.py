"""A caller's event stream, produced by one runner or by several in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.capacity.event_pace import EventPace
from clementineyoke_core.edge.event_splitter import EventSplitter
from clementineyoke_node.platform.runner_codec import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.event_splitter import StreamEvent
    from clementineyoke_node.platform.runner_codec import ResponseHead


class CallerStream:
    """Writes a streamed response to a caller: complete events, in order, each once."""

    def __init__(self, *, request: web.Request, last_event_id: int | None) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._splitter = EventSplitter()
        self.last_event_id = last_event_id
        """The id of the last event that the caller has."""
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
    def has_partial_event(self) -> bool:
        """Whether the runner's data ends within an event."""
        return self._splitter.has_partial_event

    async def start(self, head: ResponseHead, *, is_leaving: bool) -> None:
        """Start to relay a runner's stream; only the first runner's head is sent."""
        self._splitter = EventSplitter()
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

        ``on_begin`` is called before the first event of the response is written.
        """
        events = [event for event in self._splitter.feed(chunk) if self._is_new(event)]
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
        await self.response.write_eof()

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the caller sees an incomplete response."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    def _is_new(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return True
        if self.last_event_id is not None and event.event_id <= self.last_event_id:
            # A runner that resumes a stream may repeat events that the caller has.
            return False
        self.last_event_id = event.event_id
        return True
