"""Cut a stream's bytes into whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class StreamEvent(NamedTuple):
    """One whole event as it came, with its number."""

    body: bytes
    event_id: int | None
    """The event's id; None for one that carries none, such as a comment."""


class EventSplitter:
    """Hold back the part of an event until the rest has come.

    A runner may stop in the middle of an event. Handing the part on would leave bytes
    before the first event of the runner that goes on, seen as a garbled event.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream has stopped within an event."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete."""
        *whole, self._rest = (self._rest + chunk).split(EVENT_END)
        return [StreamEvent(body + EVENT_END, _number_of(body)) for body in whole]


def _number_of(body: bytes) -> int | None:
    for line in body.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
