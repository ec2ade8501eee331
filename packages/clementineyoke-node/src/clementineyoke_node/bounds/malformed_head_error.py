"""The error of a response whose head breaks the grammar."""

from __future__ import annotations

from aiohttp import ClientPayloadError


class MalformedHeadError(ClientPayloadError):
    """Raised for a response whose head is refused, with what is wrong with it."""
