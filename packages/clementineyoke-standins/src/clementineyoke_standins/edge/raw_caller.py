"""A caller on a plain socket that reads an answer by the grammar of HTTP/1.1.

Client libraries read leniently, and hide what should not have been sent to them.
"""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from typing import NamedTuple

_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*")
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*([\t\x20-\x7e\x80-\xff]*?)[\t ]*"
)
_LENGTH = re.compile(rb"[0-9]+")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")
_LINE_END = b"\r\n"
MIN_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)


class GrammarError(ValueError):
    """Raised for bytes that are no answer, with what is wrong."""


class CutError(GrammarError):
    """Raised for an answer that ends early."""


class RawAnswer(NamedTuple):
    """A whole answer."""

    status: int
    fields: list[tuple[str, str]]
    """Names in lowercase, in the order of the lines."""
    body: bytes

    def values(self, name: str) -> list[str]:
        """Return the values of a field, one for each of its lines."""
        return [value for key, value in self.fields if key == name.lower()]


async def call_raw(
    address: str, port: int, request: bytes, *, timeout_s: float
) -> RawAnswer:
    """Send a request that closes its connection, and return the answer.

    Raises ``GrammarError`` if what comes until the end of the connection is not one
    whole answer, and ``TimeoutError`` if the connection does not end in time.
    """
    received = bytearray()
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            # The node may answer, and end the connection, before it has read it all.
            with suppress(ConnectionError):
                writer.write(request)
                await writer.drain()
            with suppress(ConnectionError):
                while part := await reader.read(65_536):
                    received += part
        finally:
            writer.close()
    return parse_answer(bytes(received))


def parse_answer(data: bytes) -> RawAnswer:
    """Return the answer that some bytes are; raises ``GrammarError`` if they are not.

    An answer that ends with its connection counts as cut: it cannot be told from one
    that is.
    """
    while True:
        status, fields, data = _parse_head(data)
        if status >= MIN_FINAL_STATUS:
            break
    answer = RawAnswer(status, fields, b"")
    body, rest = _parse_body(answer, data)
    if rest:
        message = f"{len(rest)} bytes follow the answer: {rest[:40]!r}"
        raise GrammarError(message)
    return answer._replace(body=body)


def _parse_head(data: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
    head, end, rest = data.partition(_LINE_END * 2)
    if not end:
        message = f"the head ends after {len(data)} bytes: {data[:80]!r}"
        raise CutError(message)
    status_line, *lines = head.split(_LINE_END)
    status = _STATUS_LINE.fullmatch(status_line)
    if status is None:
        message = f"{status_line!r} is no status line"
        raise GrammarError(message)
    return int(status[1]), [_parse_field(line) for line in lines], rest


def _parse_field(line: bytes) -> tuple[str, str]:
    field = _FIELD_LINE.fullmatch(line)
    if field is None:
        message = f"{line!r} is no field"
        raise GrammarError(message)
    return field[1].decode().lower(), field[2].decode("latin-1")


def _parse_body(answer: RawAnswer, data: bytes) -> tuple[bytes, bytes]:
    """Return the body, and what follows it."""
    if answer.status in STATUSES_WITHOUT_BODY:
        return b"", data
    codings = answer.values("Transfer-Encoding")
    lengths = answer.values("Content-Length")
    if codings == ["chunked"] and not lengths:
        return _parse_chunks(data)
    if codings or len(lengths) > 1:
        message = f"transfer codings {codings} and lengths {lengths}"
        raise GrammarError(message)
    if not lengths:
        message = "the answer ends with its connection"
        raise CutError(message)
    if not _LENGTH.fullmatch(lengths[0].encode()):
        message = f"{lengths[0]!r} is no length"
        raise GrammarError(message)
    size = int(lengths[0])
    if len(data) < size:
        message = f"the body ends after {len(data)} of {size} bytes"
        raise CutError(message)
    return data[:size], data[size:]


def _parse_chunks(data: bytes) -> tuple[bytes, bytes]:
    body = b""
    while True:
        line, end, data = data.partition(_LINE_END)
        if not end:
            message = f"the body ends after chunks of {len(body)} bytes"
            raise CutError(message)
        if not _CHUNK_SIZE.fullmatch(line):
            message = f"{line!r} is no size of a chunk"
            raise GrammarError(message)
        size = int(line, 16)
        chunk, end, data = data[:size], data[size : size + 2], data[size + 2 :]
        if len(chunk) < size or len(end) < len(_LINE_END):
            message = f"a chunk of {size} bytes ends after {len(chunk)}"
            raise CutError(message)
        if end != _LINE_END:
            message = f"{end!r} follows a chunk of {size} bytes"
            raise GrammarError(message)
        body += chunk
        if not size:
            return body, data
