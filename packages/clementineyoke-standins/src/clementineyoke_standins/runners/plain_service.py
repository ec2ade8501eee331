"""A stand-in plain service that counts every execution."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import msgspec
from aiohttp import web

from clementineyoke_standins.runners.runner_faults import RunnerFaults
from clementineyoke_wire import headers

WORK_MS = 3.0


class PlainService:
    """Execute whatever comes and count it by its mark."""

    def __init__(self, *, runner_id: str) -> None:
        self._runner_id = runner_id
        self.faults = RunnerFaults()
        self.executions: Counter[str] = Counter()
        self.last_start_s = 0.0

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/stats", self._get_stats)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._execute)
        return app

    async def _ready(self, request: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _get_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runner": self._runner_id,
                "executions": dict(self.executions),
                "last_start_s": self.last_start_s,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=RunnerFaults)
        return web.json_response({})

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.text()
        mark = body or request.path
        self.executions[mark] += 1
        self.last_start_s = time.time()
        await asyncio.sleep((WORK_MS + self.faults.stall_ms) / 1000)
        echoed = request.headers.get(headers.REQUEST_ID, "")
        if self.faults.break_before > 0 and request.transport is not None:
            self.faults.break_before -= 1
            request.transport.abort()
        if self.faults.crossed > 0:
            self.faults.crossed -= 1
            echoed = "someone-else"
        return web.json_response(
            {"done": mark, "by": self._runner_id},
            headers={headers.REQUEST_ID: echoed},
        )
