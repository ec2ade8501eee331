"""Responses to callers that are accounted for until they have been sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from clementineyoke_node.edge.runner_response import CompleteResponse, HeldBody


class HeldResponse(web.StreamResponse):
    """A long response that is sent as fast as the caller reads it."""

    def __init__(self, *, status: int, held: HeldBody) -> None:
        super().__init__(status=status)
        self._held: HeldBody | None = held
        self.content_length = held.holding.size_bytes

    async def send(self, request: web.Request) -> None:
        """Send all of it, and hold less with each part that the caller has taken.

        Raises ``ConnectionError`` if the caller leaves.
        """
        held, self._held = self._held, None
        if held is None:
            return
        await self.prepare(request)
        with held.holding as holding:
            for number, part in enumerate(held.parts):
                await self.write(part)
                held.parts[number] = b""
                holding.resize(holding.size_bytes - len(part))
        await self.write_eof()


def make_response(complete: CompleteResponse) -> web.StreamResponse:
    """Return a runner's complete response as the caller gets it."""
    status = complete.head.status
    response: web.StreamResponse
    if complete.held is None:
        response = web.Response(status=status, body=complete.body)
    else:
        response = HeldResponse(status=status, held=complete.held)
    for name, value in complete.head.forwarded_headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    return response


async def send_held(response: web.StreamResponse, request: web.Request) -> None:
    """Send a response if it is a long one; raises ``ConnectionError`` like ``send``."""
    if isinstance(response, HeldResponse):
        await response.send(request)
