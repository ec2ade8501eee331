"""Split the bytes of an event stream into complete events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class StreamEvent(NamedTuple):
    """One complete event as received, with its id."""

    body: bytes
    event_id: int | None
    """Id of the event; None for an event without a numeric id, such as a comment."""


class EventSplitter:
    """Buffer an incomplete event until the rest of it has arrived.

    A runner may fail in the middle of an event. If the incomplete event were forwarded,
    its bytes would run into the first event of the runner that continues the stream,
    and the caller would get a garbled event.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the bytes so far end within an event."""
        return bool(self._partial)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        *complete, self._partial = (self._partial + chunk).split(EVENT_END)
        return [
            StreamEvent(body + EVENT_END, _parse_event_id(body)) for body in complete
        ]


def _parse_event_id(body: bytes) -> int | None:
    for line in body.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
