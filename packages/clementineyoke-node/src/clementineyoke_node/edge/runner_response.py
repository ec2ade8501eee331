"""Responses of runners: with an unread body, or complete."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_node.platform.runner_codec import AnswerHead


class OpenResponse(NamedTuple):
    """A response whose head has arrived and whose body has not been read."""

    head: AnswerHead
    client_response: aiohttp.ClientResponse


class CompleteResponse(NamedTuple):
    """A response that was read to its end."""

    head: AnswerHead
    body: bytes
