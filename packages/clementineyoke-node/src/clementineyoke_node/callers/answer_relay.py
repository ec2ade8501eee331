"""Hand a runner's answer to the caller, whole or visibly broken."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from clementineyoke_core.outcome import Outcome
from clementineyoke_node.callers.truncated_answer_error import TruncatedAnswerError
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.runner import Runner

EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]"
TAIL_BYTES = 64
_KEPT_HEADERS = ("Content-Type", "Content-Length", "Content-Encoding", "Cache-Control")


async def relay_answer(
    request: web.Request,
    answer: aiohttp.ClientResponse,
    *,
    runner: Runner,
    request_id: str,
    extra_headers: Mapping[str, str] | None = None,
) -> web.StreamResponse:
    """Stream an answer through; memory stays bounded by the socket buffers.

    Raises ``TruncatedAnswerError`` when the runner's answer ends early. The caller's
    connection must then be aborted: ending it in order would pass a part off as the
    whole answer.
    """
    response = _begin(answer, runner=runner, request_id=request_id)
    response.headers.update(extra_headers or {})
    await response.prepare(request)
    tail = b""
    try:
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
            tail = (tail + chunk)[-TAIL_BYTES:]
    except (aiohttp.ClientError, TimeoutError) as error:
        raise TruncatedAnswerError(
            step="relay", peer=runner.runner_id, reason=repr(error)
        ) from error
    if answer.content_type == EVENT_STREAM and STREAM_END not in tail:
        raise TruncatedAnswerError(
            step="relay", peer=runner.runner_id, reason="the stream has no end mark"
        )
    await response.write_eof()
    return response


def has_length(answer: aiohttp.ClientResponse) -> bool:
    """Tell whether the answer says where it ends; else a cut looks like the end."""
    chunked = answer.headers.get("Transfer-Encoding", "").lower() == "chunked"
    return chunked or "Content-Length" in answer.headers or answer.status == 204


def _begin(
    answer: aiohttp.ClientResponse, *, runner: Runner, request_id: str
) -> web.StreamResponse:
    response = web.StreamResponse(status=answer.status)
    for name in _KEPT_HEADERS:
        if name in answer.headers:
            response.headers[name] = answer.headers[name]
    response.headers[headers.REQUEST_ID] = request_id
    response.headers[headers.OUTCOME] = Outcome.RAN.value
    response.headers[headers.RUNNER] = runner.runner_id
    return response
