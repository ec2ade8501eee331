"""Event streams as runners send them and consumers check them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins import answer_fields

if TYPE_CHECKING:
    from http_wire import Message


def stream_head(status: str, request: Message) -> bytes:
    """Return the head of a stream of events in chunks."""
    fields = [*answer_fields(request), ("Content-Type", "text/event-stream")]
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields)]
    lines.append("Transfer-Encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_piece(number: int) -> bytes:
    """Return one event with its id."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()
