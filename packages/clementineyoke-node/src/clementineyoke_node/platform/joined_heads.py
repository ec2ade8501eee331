"""Detects two heads of responses that were parsed as one."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

_STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9]{2}(?: |$)")


def has_joined_heads(reason: str | None, fields: CIMultiDictProxy[str]) -> bool:
    """Return whether a head has the status line of another one within a line.

    A runner that stops in a line of a head, and sends another head on the same
    connection, would have the status of the first one with the body of the second.
    """
    return any(map(_STATUS_LINE.search, (reason or "", *fields.values())))
