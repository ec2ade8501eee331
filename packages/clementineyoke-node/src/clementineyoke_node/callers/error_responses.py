"""Converts errors to the JSON responses that callers receive."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_wire import headers
from clementineyoke_wire.bodies import ErrorBody

if TYPE_CHECKING:
    from clementineyoke_core.request_error import RequestError

MS_PER_S = 1000


def to_response(error: RequestError, *, request_id: str) -> web.Response:
    """Return the response for an error; a header repeats its outcome."""
    body = ErrorBody(
        outcome=error.outcome.value,
        step=error.step,
        peer=error.peer,
        request_id=request_id,
        reason=error.reason,
    )
    response_headers = {
        headers.REQUEST_ID: request_id,
        headers.OUTCOME: error.outcome.value,
    }
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
        response_headers["Retry-After"] = str(
            math.ceil(error.retry_after_ms / MS_PER_S)
        )
    return web.json_response(body, status=error.status, headers=response_headers)
