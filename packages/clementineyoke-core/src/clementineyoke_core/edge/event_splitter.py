"""Split the bytes of an event stream into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

ID_FIELD = b"id:"
MAX_ID_DIGITS = 18
"""Longer ids are no event numbers; Python refuses to parse thousands of digits."""
_EVENT_END = re.compile(rb"\n\r?\n")
"""The end of a line and an empty one; lines end with LF or CRLF."""
MAX_END_BYTES = 3
_COMMENTS = re.compile(rb"(?:(?::[^\r\n]*+)?\r?\n)*+")
"""Whole lines that are comments or empty."""


class StreamEvent(NamedTuple):
    """One complete event as received, with its id."""

    body: bytes
    """The event with its end, and the comments before it."""
    event_id: int | None
    """Id of the event; None for an event without a numeric id."""


class EventSplitter:
    """Buffer an incomplete event until the rest of it has arrived.

    A runner may fail in the middle of an event. If the incomplete event were forwarded,
    its bytes would run into the first event of the runner that continues the stream,
    and the caller would get a garbled event. Comments and empty lines are no events:
    they are kept until the next event.
    """

    def __init__(self) -> None:
        self._pending = b""
        self._block_start = 0
        """Where in the pending bytes the block begins that has not ended."""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the bytes so far end within an event."""
        return len(self._pending) > self._block_start

    @property
    def pending_bytes(self) -> int:
        """The number of bytes after the last complete event."""
        return len(self._pending)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        data = self._pending + chunk
        # The end of an event may have begun in the bytes before.
        searched = max(0, len(self._pending) - MAX_END_BYTES)
        event_start = 0
        events: list[StreamEvent] = []
        block_start = _skip_comments(data, self._block_start)
        while end := _EVENT_END.search(data, max(block_start, searched)):
            block = data[block_start : end.start()]
            body = data[event_start : end.end()]
            events.append(StreamEvent(body, _parse_event_id(block)))
            event_start = end.end()
            block_start = _skip_comments(data, event_start)
        self._pending = data[event_start:]
        self._block_start = block_start - event_start
        return events

    def take_comments(self) -> bytes:
        """Return the complete comments after the last event, and forget them."""
        comments = self._pending[: self._block_start]
        self._pending, self._block_start = self._pending[self._block_start :], 0
        return comments


def _skip_comments(data: bytes, start: int) -> int:
    """Return where the next event begins."""
    comments = _COMMENTS.match(data, start)
    return start if comments is None else comments.end()


def _parse_event_id(block: bytes) -> int | None:
    for line in block.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
        return int(text) if is_number else None
    return None
