"""Responses of runners: with an unread body, or complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_node.platform.runner_codec import ResponseHead


class OpenResponse(NamedTuple):
    """A response whose head has arrived and whose body has not been read."""

    head: ResponseHead
    client_response: aiohttp.ClientResponse


class CompleteResponse(NamedTuple):
    """A response that was read to its end."""

    head: ResponseHead
    body: bytes
    ended_ms: float = 0.0
    """Time at which the body was read to its end; 0 if it was not recorded."""
