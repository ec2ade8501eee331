"""Bytes that a fake runner sends in place of a proper response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_node.platform import names

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_standins.edge.edge_runner import ReceivedCall

SIGNATURE = "proof-of-the-runner"
EVENT_STREAM = "text/event-stream"


def encode_raw_head(call: ReceivedCall, status: str = "200 OK", **fields: str) -> bytes:
    """Return the head of a signed response; underscores in names become hyphens."""
    lines = [
        f"HTTP/1.1 {status}",
        f"{names.CALL_ID}: {call.call_id}",
        f"{names.SERVER_SIGNATURE}: {SIGNATURE}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def encode_raw_stream(
    call: ReceivedCall,
    events: Iterable[bytes],
    status: str = "200 OK",
    **fields: str,
) -> bytes:
    """Return a complete stream of events in chunks."""
    head = encode_raw_head(
        call,
        status,
        Content_Type=EVENT_STREAM,
        Transfer_Encoding="chunked",
        **fields,
    )
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events)
    return head + chunks + b"0\r\n\r\n"


def encode_event(number: int, *, line_end: bytes = b"\n") -> bytes:
    """Return the numbered event of a stream, as the fake runners send it."""
    return line_end.join((b"id: %d" % number, b"data: piece %d" % number, b"", b""))
