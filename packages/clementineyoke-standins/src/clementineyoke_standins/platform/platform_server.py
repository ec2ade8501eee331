"""HTTP server of the fake platform."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from clementineyoke_standins.platform.faults import PlatformFaults
from clementineyoke_standins.platform.host_registry import HostRegistry
from clementineyoke_standins.platform.object_store import ObjectStore, ObjectVersion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_VALUE_BYTES = 1_000_000


class PlatformServer:
    """Serves objects, watches and hosts, counts calls and injects faults."""

    def __init__(self, *, host_lag_ms: float = 0.0) -> None:
        self.store = ObjectStore()
        self.hosts = HostRegistry(lag_ms=host_lag_ms)
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()

    def application(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=MAX_VALUE_BYTES)
        router = app.router
        router.add_get("/objects", self._counted("list", self._list))
        router.add_get("/objects/{name:.+}", self._counted("read", self._read))
        router.add_put("/objects/{name:.+}", self._counted("write", self._write))
        router.add_get("/watch", self._counted("watch", self._watch))
        router.add_get("/hosts", self._counted("watch_hosts", self._watch_hosts))
        router.add_put("/control/hosts", self._put_host)
        router.add_delete("/control/hosts/{name}", self._remove_host)
        router.add_put("/control/lag", self._set_lag)
        router.add_put("/control/faults", self._set_faults)
        router.add_get("/control/calls", self._get_calls)
        return app

    def _counted(
        self, kind: str, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def counted(request: web.Request) -> web.Response:
            self.calls[kind] += 1
            await asyncio.sleep(self.faults.delay_ms / 1000)
            if self.faults.outage:
                return web.json_response({"error": "outage"}, status=503)
            return await handler(request)

        return counted

    async def _read(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        stored = self.store.read(name)
        if stored is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.json_response(_describe(name, stored))

    async def _write(self, request: web.Request) -> web.Response:
        version = await self.store.write(
            request.match_info["name"],
            await request.read(),
            expected_version=int(request.headers["If-Match"]),
        )
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            if request.transport is not None:
                request.transport.abort()
        if version == 0:
            return web.json_response({"error": "another version"}, status=412)
        return web.json_response({"version": version})

    async def _list(self, request: web.Request) -> web.Response:
        page = self.store.list_after(request.query["prefix"], request.query["after"])
        return web.json_response(
            {"objects": [_describe(name, stored) for name, stored in page]}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after_revision"])
        await _wait_for_change(
            self.store.changed,
            lambda: bool(self.store.written_after(prefix, after)) or self.faults.outage,
            request,
        )
        objects = [
            _describe(n, stored)
            for n, stored in self.store.written_after(prefix, after)
        ]
        return web.json_response({"revision": self.store.revision, "objects": objects})

    async def _watch_hosts(self, request: web.Request) -> web.Response:
        after = int(request.query["after_revision"])
        if after:
            await _wait_for_change(
                self.hosts.changed, lambda: self.hosts.revision > after, request
            )
        hosts, gone = self.hosts.changes_after(after)
        body = {
            "revision": self.hosts.revision,
            "is_whole": after == 0,
            "hosts": hosts,
            "gone": gone,
        }
        return web.json_response(body)

    async def _put_host(self, request: web.Request) -> web.Response:
        await self.hosts.put(await request.json())
        return web.json_response({})

    async def _remove_host(self, request: web.Request) -> web.Response:
        await self.hosts.remove(request.match_info["name"])
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=PlatformFaults)
        return web.json_response({})

    async def _set_lag(self, request: web.Request) -> web.Response:
        self.hosts.lag_ms = (await request.json())["lag_ms"]
        return web.json_response({})

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _describe(name: str, stored: ObjectVersion) -> dict[str, Any]:
    body = base64.b64encode(stored.body).decode()
    return {"name": name, "version": stored.version, "body": body}


async def _wait_for_change(
    changed: asyncio.Condition, predicate: Callable[[], bool], request: web.Request
) -> None:
    wait_s = int(request.query["wait_ms"]) / 1000
    with suppress(TimeoutError):
        async with asyncio.timeout(wait_s), changed:
            await changed.wait_for(predicate)
