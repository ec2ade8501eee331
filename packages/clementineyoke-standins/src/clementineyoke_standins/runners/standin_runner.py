"""Base class of the fake runners, with readiness, statistics and fault injection."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from clementineyoke_standins.runners.runner_faults import RunnerFaults

MAX_BODY_BYTES = 8_000_000


class StandinRunner:
    """Serves the control routes; subclasses add the routes for requests."""

    def __init__(self, *, runner_id: str) -> None:
        self._runner_id = runner_id
        self.faults = RunnerFaults()
        self.last_start_s = 0.0
        """Wall-clock time at which the last request was started."""

    def application(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/ready", self._ready)
        app.router.add_get("/stats", self._get_stats)
        app.router.add_put("/faults", self._set_faults)
        self._add_routes(app.router)
        return app

    def describe(self) -> dict[str, Any]:
        """Return statistics of the requests served; implemented by subclasses."""
        raise NotImplementedError

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        raise NotImplementedError

    async def _ready(self, request: web.Request) -> web.Response:
        return web.json_response({"ready": True})

    async def _get_stats(self, request: web.Request) -> web.Response:
        common = {"runner": self._runner_id, "last_start_s": self.last_start_s}
        return web.json_response(common | self.describe())

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=RunnerFaults)
        return web.json_response({})
