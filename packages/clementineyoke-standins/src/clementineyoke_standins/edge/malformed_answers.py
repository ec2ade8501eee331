"""Answers of a fake runner with any status line and fields, also malformed ones."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.raw_answers import EVENT_STREAM, SIGNATURE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from clementineyoke_standins.edge.edge_runner import ReceivedCall

OK = b"HTTP/1.1 200 OK"
BODY = b"broken"
LINE_END = b"\r\n"


class Framing(Enum):
    """How the end of a body is marked, and how the answer is sent."""

    LENGTH = "a length"
    CHUNKS = "chunks"
    CONNECTION = "neither"
    LINE_FEEDS = "line feeds"
    """With a length, and no carriage returns in the head."""
    SINGLE_BYTES = "single bytes"
    """With a length, byte by byte."""


class AnswerForm(NamedTuple):
    """What an answer has besides its identity."""

    status_line: bytes = OK
    field: bytes = b"X-Note: 1"
    """A field, or several with line ends between them."""
    framing: Framing = Framing.LENGTH


MALFORMED_FORMS = (
    AnswerForm(b"HTTP/1.1 000 OK"),
    AnswerForm(b"HTTP/1.1 099 OK", framing=Framing.CONNECTION),
    AnswerForm(b"HTTP/1.1 999 OK"),
    AnswerForm(b"HTTP/2.0 200 OK", framing=Framing.CHUNKS),
    AnswerForm(b"HTTP/1.1 200 O\x7fK"),
    AnswerForm(framing=Framing.LINE_FEEDS),
    AnswerForm(field=b"Content-Length : 6", framing=Framing.CONNECTION),
    AnswerForm(field=b"Connection : close"),
    AnswerForm(field=b"X-Note: a\x01b", framing=Framing.CHUNKS),
    AnswerForm(field=b"X-Note: a\r\n b"),
    AnswerForm(field=b"Transfer-Encoding: gzip", framing=Framing.CONNECTION),
    AnswerForm(field=b"Transfer-Encoding: gzip", framing=Framing.CHUNKS),
    AnswerForm(field=f"{names.SERVER_SIGNATURE}: another".encode()),
    AnswerForm(field=f"Connection: {names.SERVER_SIGNATURE}".encode()),
)


async def send_answer(
    call: ReceivedCall, form: AnswerForm, body: bytes = BODY
) -> AsyncIterator[bytes]:
    """Send an answer that identifies itself and says that its runner drains."""
    is_stream = "streaming" in call.target
    identity = (
        f"{names.CALL_ID}: {call.call_id}",
        f"{names.SERVER_SIGNATURE}: {SIGNATURE}",
        f"{names.DRAINING}: {names.DRAINING_VALUE}",
        f"Content-Type: {EVENT_STREAM if is_stream else 'text/plain'}",
    )
    lines = [line.encode() for line in identity]
    if b"Content-Type" in form.field:
        del lines[-1]
    lines = [form.status_line, *lines, form.field]
    if form.framing is Framing.CHUNKS:
        lines.append(b"Transfer-Encoding: chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    elif form.framing is not Framing.CONNECTION:
        lines.append(b"Content-Length: %d" % len(body))
    separator = b"\n" if form.framing is Framing.LINE_FEEDS else LINE_END
    answer = separator.join([*lines, b"", b""]) + body
    size = 1 if form.framing is Framing.SINGLE_BYTES else len(answer)
    for place in range(0, len(answer), size):
        yield answer[place : place + size]
        await asyncio.sleep(0)
    if form.framing is Framing.CONNECTION:
        raise ConnectionResetError  # The stand-in closes the connection in order.
