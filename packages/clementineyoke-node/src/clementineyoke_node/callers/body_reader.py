"""Read a caller's body within bounds of size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError

BODY_TIMEOUT_S = 10.0
"""A caller that stops sending half way would hold a place in the node for ever."""


async def read_body(request: web.Request) -> bytes:
    """Return the whole body; raises ``RequestError`` when it is late or too large."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise _refuse(413, f"the body is larger than {error.text}") from error
    except TimeoutError as error:
        raise _refuse(408, f"the body took over {BODY_TIMEOUT_S:g} s") from error


def _refuse(status: int, reason: str) -> RequestError:
    return RequestError(
        status=status, outcome=Outcome.NOT_RUN, step="read_body", reason=reason
    )
