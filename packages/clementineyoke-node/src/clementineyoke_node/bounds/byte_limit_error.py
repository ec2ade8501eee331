"""The error of bytes that exceed a bound."""

from __future__ import annotations

from enum import Enum

from aiohttp import ClientPayloadError


class ByteKind(Enum):
    """What exceeded its bound."""

    HEAD = "head"
    """The heads of a response, and empty lines before them."""
    FRAMING = "framing"
    """Bytes of a body that carry none of its content."""
    UNREQUESTED = "unrequested"
    """Bytes that belong to no request."""
    BODY = "body"
    """A body that is held as a whole."""
    EVENT = "event"
    """Bytes of a stream without a whole event."""
    TOTAL = "total"
    """What the node holds of all."""


class ByteLimitError(ClientPayloadError):
    """Raised for a response whose connection is closed for a bound."""

    def __init__(self, kind: ByteKind, *, size_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes exceed the bound of a {kind.value}")
        self.kind = kind
        self.size_bytes = size_bytes
