"""Reads a caller's body within limits of size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError

BODY_TIMEOUT_S = 10.0
"""Without a limit, a caller that stops sending midway would count as in flight
indefinitely."""


async def read_body(request: web.Request) -> bytes:
    """Return the body; raises ``RequestError`` if it is too large or takes too long."""
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
