"""What a runner answered: the head alone, or the whole answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import aiohttp

    from clementineyoke_node.platform.runner_codec import AnswerHead


class OpenAnswer(NamedTuple):
    """An answer whose head has come."""

    head: AnswerHead
    response: aiohttp.ClientResponse


class WholeAnswer(NamedTuple):
    """An answer that came whole."""

    head: AnswerHead
    body: bytes
