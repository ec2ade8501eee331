"""Relay a runner's response to the caller, complete or visibly truncated."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from clementineyoke_core.outcome import Outcome
from clementineyoke_node.callers.truncated_response_error import TruncatedResponseError
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from clementineyoke_core.runner import Runner

EVENT_STREAM = "text/event-stream"
TAIL_BYTES = 64
"""Bytes kept of the end of a stream; the end mark may be split between chunks."""
_END_MARK_LINE = re.compile(rb"^data: \[DONE\]\r?$", re.MULTILINE)
"""The mark within a line may be text of the response."""
_FORWARDED_HEADERS = (
    "Content-Type",
    "Content-Length",
    "Content-Encoding",
    "Cache-Control",
)


async def relay_response(
    request: web.Request,
    runner_response: aiohttp.ClientResponse,
    *,
    runner: Runner,
    request_id: str,
    extra_headers: Mapping[str, str] | None = None,
    before: bytes = b"",
    skipped_bytes: int = 0,
) -> web.StreamResponse:
    """Stream a response to the caller; memory use is bounded by the socket buffers.

    Of the rest of a stream, ``skipped_bytes`` were read, which the caller has;
    ``before`` are the whole lines at their end.

    Raises ``TruncatedResponseError`` when the runner's response ends early. The
    caller's connection must then be aborted: if it were closed cleanly, the caller
    would take the truncated response for a complete one.
    """
    response = _start_response(runner_response, runner=runner, request_id=request_id)
    response.headers.update(extra_headers or {})
    if skipped_bytes and response.content_length is not None:
        response.content_length -= skipped_bytes
    await response.prepare(request)
    tail = before
    try:
        async for chunk in runner_response.content.iter_any():
            await response.write(chunk)
            tail += chunk
            if len(tail) > TAIL_BYTES:
                tail = drop_partial_line(tail[-TAIL_BYTES:])
    except (aiohttp.ClientError, TimeoutError) as error:
        raise TruncatedResponseError(
            step="relay", peer=runner.runner_id, reason=repr(error)
        ) from error
    is_stream = runner_response.content_type == EVENT_STREAM
    if is_stream and not _END_MARK_LINE.search(tail):
        raise TruncatedResponseError(
            step="relay",
            peer=runner.runner_id,
            reason="the stream has no end mark",
        )
    await response.write_eof()
    return response


def drop_partial_line(data: bytes) -> bytes:
    """Return a part of a stream without the line within which it begins."""
    begun, line_end, rest = data.partition(b"\n")
    return rest if line_end else begun


def is_framed(runner_response: aiohttp.ClientResponse) -> bool:
    """Return whether the response has a length, is chunked or has no body.

    Without framing a lost connection cannot be told from the end of the body.
    """
    chunked = runner_response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    return (
        chunked
        or "Content-Length" in runner_response.headers
        or runner_response.status == 204
    )


def _start_response(
    runner_response: aiohttp.ClientResponse, *, runner: Runner, request_id: str
) -> web.StreamResponse:
    response = web.StreamResponse(status=runner_response.status)
    for name in _FORWARDED_HEADERS:
        if name in runner_response.headers:
            response.headers[name] = runner_response.headers[name]
    response.headers[headers.REQUEST_ID] = request_id
    response.headers[headers.OUTCOME] = Outcome.RAN.value
    response.headers[headers.RUNNER] = runner.runner_id
    return response
