"""One caller's event stream, fed by one runner or by several in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.edge.event_splitter import EventSplitter

if TYPE_CHECKING:
    from clementineyoke_core.edge.event_splitter import StreamEvent
    from clementineyoke_node.platform.runner_codec import AnswerHead


class CallerStream:
    """Own the answer to one caller; events go out whole, in order and once."""

    def __init__(self, *, request: web.Request, last_event: int | None) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._splitter = EventSplitter()
        self.last_event = last_event
        """The last event that the caller has."""
        self.events = 0

    @property
    def has_begun(self) -> bool:
        """Whether the caller has been sent the answer's head."""
        return self._response is not None

    @property
    def has_part(self) -> bool:
        """Whether the runner stopped within an event."""
        return self._splitter.has_partial_event

    async def begin(self, head: AnswerHead, *, is_leaving: bool) -> None:
        """Send the head of the first runner that answers; later ones add events."""
        self._splitter = EventSplitter()
        if self._response is not None:
            return
        response = web.StreamResponse(status=head.status)
        for name, value in head.passed_headers:
            response.headers.add(name, value)
        if is_leaving:
            response.force_close()
        self._response = response
        await response.prepare(self._request)

    async def feed(self, chunk: bytes) -> int:
        """Hand on the events that a chunk completes; return how many."""
        events = [event for event in self._splitter.feed(chunk) if self._is_new(event)]
        if events and self._response is not None:
            await self._response.write(b"".join(event.body for event in events))
        self.events += len(events)
        return len(events)

    @property
    def response(self) -> web.StreamResponse:
        """The answer that was begun."""
        if self._response is None:
            message = "the stream has not begun"
            raise RuntimeError(message)
        return self._response

    async def finish(self) -> None:
        """End the answer as complete."""
        await self.response.write_eof()

    def abort(self) -> web.StreamResponse:
        """Break the connection: the caller must not take a part for the whole."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    def _is_new(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return True
        if self.last_event is not None and event.event_id <= self.last_event:
            # A runner that goes on may begin with what the caller has already.
            return False
        self.last_event = event.event_id
        return True
