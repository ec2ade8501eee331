"""Reads the bodies of callers' requests, and bounds what is held of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.held_bytes import HeldBytes, HoldLimitError
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError

if TYPE_CHECKING:
    from aiohttp import web

    from clementineyoke_core.edge.held_bytes import Holding
    from clementineyoke_node.metrics import Metrics

MAX_BODY_BYTES = 16_777_216
"""Limit on one body, whatever the operator allows."""
RETRY_AFTER_MS = 500
STEP = "read_body"


class RequestBodies:
    """Bound the bytes of all requests that a node holds until they are answered.

    A process that exceeds the memory of its host is killed, and all calls that it has
    accepted are lost. A body is therefore refused before it is read where its length is
    known, and each caller may send a short one whatever the others send.
    """

    def __init__(self, *, max_total_bytes: int, metrics: Metrics) -> None:
        self._held = HeldBytes(
            max_each_bytes=MAX_BODY_BYTES, max_total_bytes=max_total_bytes
        )
        self._metrics = metrics

    def open(self) -> Holding:
        """Return a holder for one body, to be closed once its call is answered."""
        return self._held.open()

    async def read(self, request: web.Request, holding: Holding) -> bytes:
        """Return the body of a request; raises ``RequestError`` if it is too much."""
        if not request.body_exists:
            return b""
        try:
            return await _read_parts(request, holding)
        except HoldLimitError as error:
            if not error.is_total:
                raise _refuse(413, str(error)) from error
            self._metrics.bodies_refused.inc({})
            raise _refuse(
                503, f"bodies of requests: {error}", RETRY_AFTER_MS
            ) from error


async def _read_parts(request: web.Request, holding: Holding) -> bytes:
    # Callers that announce long bodies and send none must not use up the bound.
    holding.check(request.content_length or 0)
    parts: list[bytes] = []
    size_bytes = 0
    while part := await request.content.readany():
        size_bytes += len(part)
        holding.resize(size_bytes)
        parts.append(part)
    return b"".join(parts)


def _refuse(
    status: int, reason: str, retry_after_ms: int | None = None
) -> RequestError:
    return RequestError(
        status=status,
        outcome=Outcome.NOT_RUN,
        step=STEP,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
