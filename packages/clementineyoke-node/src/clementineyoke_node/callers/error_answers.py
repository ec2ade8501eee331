"""Turn errors into the JSON answers that callers get."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_wire import headers
from clementineyoke_wire.bodies import ErrorBody

if TYPE_CHECKING:
    from clementineyoke_core.request_error import RequestError

MS_PER_S = 1000


def to_answer(error: RequestError, *, request_id: str) -> web.Response:
    """Return the answer for an error; its outcome also stands in a header."""
    body = ErrorBody(
        outcome=error.outcome.value,
        step=error.step,
        peer=error.peer,
        request_id=request_id,
        reason=error.reason,
    )
    answer_headers = {
        headers.REQUEST_ID: request_id,
        headers.OUTCOME: error.outcome.value,
    }
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
        answer_headers["Retry-After"] = str(math.ceil(error.retry_after_ms / MS_PER_S))
    return web.json_response(body, status=error.status, headers=answer_headers)
