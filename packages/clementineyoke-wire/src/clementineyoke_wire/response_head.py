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
_OTHER_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |\r)")


class HeadError(ValueError):
    """Raised for a head that breaks the grammar, with the line that does."""


class RawHead(NamedTuple):
    """A head that follows the grammar."""

    status: int

    @property
    def is_final(self) -> bool:
        """Whether no other head of the same response follows."""
        return self.status >= MIN_FINAL_STATUS


def parse_head(head: bytes) -> RawHead:
    """Return what a whole head says; raises ``HeadError`` if it breaks the grammar."""
    status_line = head.partition(LINE_END)[0]
    status = _parse_status(status_line)
    if _OTHER_STATUS_LINE.search(head, 1):
        # A sender that stops in a line of a head and goes on with another head would
        # have the status of the one with the body of the other.
        message = f"the head with status {status} has another status line"
        raise HeadError(message)
    return RawHead(status)


def _parse_status(line: bytes) -> int:
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        message = f"{_quote(line)} is no status line"
        raise HeadError(message)
    return int(match[1])


def _quote(text: bytes) -> str:
    """Return the begin of a text that another process has sent, as a log takes it."""
    return repr(text[:MAX_QUOTED_BYTES])
