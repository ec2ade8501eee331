"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins of the review's cases."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

MAX_HEAD_BYTES = 65_536
LAST_CHUNK = b"0\r\n\r\n"


class Message(NamedTuple):
    """A request or response head with its body, as read from the wire."""

    start: str
    """Request line or status line."""
    fields: list[tuple[str, str]]
    body: bytes
    ends_with_connection: bool = False
    """Whether the body had neither a length nor chunks."""

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        wanted = name.lower()
        return next((v for n, v in self.fields if n.lower() == wanted), None)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.start.split(" ", 2)[1]


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises ``asyncio.IncompleteReadError`` at the end of a channel."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Message(start, fields, b"")


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; the last one is empty."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader: asyncio.StreamReader, *, is_response: bool) -> Message:
    """Read a whole message; raises ``asyncio.IncompleteReadError`` if it is cut."""
    head = await read_head(reader)
    if is_response and head.status in (204, 304):
        return head
    if "chunked" in (head.get("Transfer-Encoding") or "").lower():
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return head._replace(body=body)
    length = head.get("Content-Length")
    if length is not None:
        return head._replace(body=await reader.readexactly(int(length)))
    if is_response:
        return head._replace(body=await reader.read(), ends_with_connection=True)
    return head


def encode(start: str, fields: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a message with the length of its body."""
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests; a request is dropped when its channel is closed."""

    async def on_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            while True:
                request = await read_message(reader, is_response=False)
                await _handle_until_closed(handler, request, reader, writer)
        writer.close()

    return await asyncio.start_server(on_channel, host, port, limit=2**24)


async def _handle_until_closed(
    handler: Handler,
    request: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Work on a request; raises ``asyncio.CancelledError`` if its channel closes."""
    work = asyncio.ensure_future(handler(request, writer))
    closed = asyncio.ensure_future(_wait_for_end(reader))
    try:
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        closed.cancel()
        if not work.done():
            work.cancel()
    await work


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
