"""The grammar of the head of an HTTP/1.1 response.

RFC 9110 and RFC 9112 define it. HTTP libraries accept more, each in its own way: a
head that two of them read differently may give one caller a part of an answer, or the
answer to another call.
"""

from __future__ import annotations

import re
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
MIN_FINAL_STATUS = 200
MAX_QUOTED_BYTES = 80

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
# Some servers leave out the blank before an empty reason.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + _TEXT + rb")")
_OTHER_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |\r)")
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


class HeadError(ValueError):
    """Raised for a head that breaks the grammar, with the line that does."""


class RawHead(NamedTuple):
    """A head that follows the grammar."""

    status: int

    @property
    def is_final(self) -> bool:
        """Whether no other head of the same response follows."""
        return self.status >= MIN_FINAL_STATUS


def has_bare_line_feed(head: bytes | bytearray, start: int = 0) -> bool:
    """Return whether a line of a head ends without a CR, at an index or later.

    A parser that accepts such lines ends the head where others do not.
    """
    return _BARE_LINE_FEED.search(head, start) is not None


def parse_head(head: bytes) -> RawHead:
    """Return what a whole head says; raises ``HeadError`` if it breaks the grammar."""
    status_line, *lines = head[: -len(HEAD_END)].split(LINE_END)
    status = _parse_status(status_line)
    if _OTHER_STATUS_LINE.search(head, 1):
        # A sender that stops in a line of a head and goes on with another head would
        # have the status of the one with the body of the other.
        message = f"the head with status {status} has another status line"
        raise HeadError(message)
    for line in lines:
        _check_field(line)
    return RawHead(status)


def _parse_status(line: bytes) -> int:
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        message = f"{_quote(line)} is no status line"
        raise HeadError(message)
    return int(match[1])


def _check_field(line: bytes) -> None:
    if _FIELD_LINE.fullmatch(line) is None:
        message = f"{_quote(line)} is no field"
        raise HeadError(message)


def _quote(text: bytes) -> str:
    """Return the begin of a text that another process has sent, as a log takes it."""
    return repr(text[:MAX_QUOTED_BYTES])
