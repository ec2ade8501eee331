"""Fake plain service that counts every execution."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from typing import Any

from aiohttp import web

from clementineyoke_standins.runners.standin_runner import StandinRunner
from clementineyoke_wire import headers

EXECUTION_MS = 3.0


class PlainService(StandinRunner):
    """Executes every request and counts executions by mark, i.e. its body or path."""

    def __init__(self, *, runner_id: str) -> None:
        super().__init__(runner_id=runner_id)
        self.executions: Counter[str] = Counter()

    def describe(self) -> dict[str, Any]:
        """Return the number of executions by mark."""
        return {"executions": dict(self.executions)}

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_route("*", "/{path:.*}", self._execute)

    async def _execute(self, request: web.Request) -> web.StreamResponse:
        body = await request.text()
        mark = body or request.raw_path
        self.executions[mark] += 1
        self.last_start_s = time.time()
        await asyncio.sleep((EXECUTION_MS + self.faults.stall_ms) / 1000)
        echoed_id = request.headers.get(headers.REQUEST_ID, "")
        if self.faults.break_before > 0 and request.transport is not None:
            self.faults.break_before -= 1
            request.transport.abort()
        if self.faults.crossed > 0:
            self.faults.crossed -= 1
            echoed_id = "someone-else"
        result = {"done": mark, "by": self._runner_id}
        response_headers = {headers.REQUEST_ID: echoed_id}
        if self.faults.padding_bytes:
            return await self._respond_in_parts(request, result, response_headers)
        return web.json_response(result, headers=response_headers)

    async def _respond_in_parts(
        self,
        request: web.Request,
        result: dict[str, str],
        response_headers: dict[str, str],
    ) -> web.StreamResponse:
        padded = result | {"padding": "x" * self.faults.padding_bytes}
        body = json.dumps(padded).encode()
        response = web.StreamResponse(headers=response_headers)
        response.content_type = "application/json"
        response.content_length = len(body)
        await response.prepare(request)
        half = len(body) // 2
        await response.write(body[:half])
        await asyncio.sleep(EXECUTION_MS / 1000)
        await response.write(body[half:])
        await response.write_eof()
        return response
