"""The head of an HTTP/1.1 response: its grammar, and where the body after it ends.

RFC 9110 and RFC 9112 define both. HTTP libraries accept more, each in its own way: a
head that two of them read differently may give one caller a part of an answer, or the
answer to another call.
"""

from __future__ import annotations

import re
from enum import Enum
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
MIN_FINAL_STATUS = 200
MIN_REDIRECT_STATUS = 300
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304
"""May have the length of the body that another response would have."""
STATUSES_WITHOUT_BODY = frozenset((NO_CONTENT, NOT_MODIFIED))
FRAMING_FIELDS = frozenset(("content-length", "transfer-encoding"))
RECEIVER_FIELDS = frozenset(("content-type",))
MAX_QUOTED_BYTES = 80

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# Some servers leave out the blank before an empty reason.
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + _TEXT + rb")")
_OTHER_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |\r)")
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_LENGTH = re.compile(r"[0-9]{1,18}")


class HeadError(ValueError):
    """Raised for a head that breaks the grammar, with the line that does."""


class BodyEnd(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    """The announced length; a response without a body has the length 0."""
    CHUNKS = "chunks"
    """The last chunk."""
    CONNECTION = "connection"
    """The end of the connection, which looks the same if the sender crashes."""


class RawHead(NamedTuple):
    """A head that follows the grammar."""

    status: int
    body_end: BodyEnd

    @property
    def is_final(self) -> bool:
        """Whether no other head of the same response follows."""
        return self.status >= MIN_FINAL_STATUS

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request was served."""
        return MIN_FINAL_STATUS <= self.status < MIN_REDIRECT_STATUS


def has_bare_line_feed(head: bytes | bytearray, start: int = 0) -> bool:
    """Return whether a line of a head ends without a CR, at an index or later.

    A parser that accepts such lines ends the head where others do not.
    """
    return _BARE_LINE_FEED.search(head, start) is not None


def parse_head(
    head: bytes,
    *,
    answers_head_request: bool = False,
    receiver_fields: frozenset[str] = frozenset(),
) -> RawHead:
    """Return what a whole head says; raises ``HeadError`` if it breaks the grammar.

    ``receiver_fields`` are the lowercase names of fields that, like the content type,
    occur once at the most and are for the receiver of the response.
    """
    receiver_fields |= RECEIVER_FIELDS
    status_line, *lines = head[: -len(HEAD_END)].split(LINE_END)
    status, is_http_1_0 = _parse_status(status_line)
    if _OTHER_STATUS_LINE.search(head, 1):
        # A sender that stops in a line of a head and goes on with another head would
        # have the status of the one with the body of the other.
        message = f"the head with status {status} has another status line"
        raise HeadError(message)
    fields = _parse_fields(lines, FRAMING_FIELDS | receiver_fields)
    _check_options(fields["connection"], receiver_fields)
    coding = next(iter(fields["transfer-encoding"]), None)
    if coding is not None and is_http_1_0:
        message = f"an HTTP/1.0 response has the transfer coding {coding!r}"
        raise HeadError(message)
    length = next(iter(fields["content-length"]), None)
    _check_framing(status, length=length, coding=coding)
    body_end = find_body_end(
        status,
        length=length,
        coding=coding,
        answers_head_request=answers_head_request,
    )
    return RawHead(status, body_end)


def find_body_end(
    status: int,
    *,
    length: str | None,
    coding: str | None,
    answers_head_request: bool = False,
) -> BodyEnd:
    """Return where a body ends, by the values of the fields that frame it."""
    is_bodiless = status < MIN_FINAL_STATUS or status in STATUSES_WITHOUT_BODY
    if is_bodiless or answers_head_request:
        return BodyEnd.LENGTH
    if coding is not None:
        return BodyEnd.CHUNKS
    return BodyEnd.CONNECTION if length is None else BodyEnd.LENGTH


def _check_framing(status: int, *, length: str | None, coding: str | None) -> None:
    """Raise ``HeadError`` if it is not certain where the body ends, or how to read it.

    Those who get the body are told of no coding.
    """
    if length is not None and not _LENGTH.fullmatch(length):
        message = f"the length {_quote(length)} is no number"
        raise HeadError(message)
    if coding is not None and (length is not None or coding.lower() != "chunked"):
        message = f"the transfer coding is {_quote(coding)} and the length {length}"
        raise HeadError(message)
    is_bodiless = status < MIN_FINAL_STATUS or status == NO_CONTENT
    if is_bodiless and (coding is not None or int(length or "0")):
        message = f"a response with status {status} announces a body"
        raise HeadError(message)


def _parse_status(line: bytes) -> tuple[int, bool]:
    """Return the status, and whether the version is HTTP/1.0."""
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        message = f"{_quote(line)} is no status line"
        raise HeadError(message)
    status = int(match[2])
    if status == SWITCHING_PROTOCOLS:
        message = f"status {status} without a request for another protocol"
        raise HeadError(message)
    return status, match[1] == b"0"


def _parse_fields(
    lines: list[bytes], single_fields: frozenset[str]
) -> dict[str, list[str]]:
    """Return the values of the fields that are checked, by their lowercase names."""
    fields: dict[str, list[str]] = {name: [] for name in single_fields}
    fields["connection"] = []
    for line in lines:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            message = f"{_quote(line)} is no field"
            raise HeadError(message)
        values = fields.get(match[1].decode().lower())
        if values is not None:
            values.append(match[2].decode("latin-1").strip(" \t"))
    for name in single_fields:
        _check_single(name, fields[name])
    return fields


def _check_single(name: str, values: list[str]) -> None:
    if len(values) > 1:
        message = f"the field {name!r} occurs twice"
        raise HeadError(message)
    if values and not values[0].isascii():
        message = f"the field {name!r} has other characters than ASCII"
        raise HeadError(message)


def _check_options(values: list[str], receiver_fields: frozenset[str]) -> None:
    """Raise ``HeadError`` if a field for the receiver is to end with the connection."""
    options = {option.strip().lower() for text in values for option in text.split(",")}
    removed = sorted(options & receiver_fields)
    if removed:
        message = f"the fields {removed} are named as options of the connection"
        raise HeadError(message)


def _quote(text: bytes | str) -> str:
    """Return the begin of a text that another process has sent, as a log takes it."""
    return repr(text[:MAX_QUOTED_BYTES])
