"""A stand-in of the platform's store, with the ways in which it fails."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Any, NamedTuple

from aiohttp import web

MOST_ITEMS = 500
MS_PER_S = 1000.0
FOREVER_S = 3600.0
"""How long a deaf watch is held: longer than any test."""


class StoreFault(Enum):
    """What the store does to calls instead of serving them."""

    BUSY = "busy"
    """Turns calls away with 503; nothing was done."""
    MANY = "many"
    """Turns calls away with 429; nothing was done."""
    RESET = "reset"
    SILENT = "silent"
    LOST_REPLY = "lost_reply"
    """Does what a write asks for and says nothing."""


class Change(NamedTuple):
    """One change of the store's history."""

    revision: int
    kind: str
    item: dict[str, Any]
    is_deleted: bool


class EdgeStore:
    """Hold objects by kind and name under one revision counter."""

    def __init__(self) -> None:
        self.revision = 0
        self.fault: StoreFault | None = None
        self.is_deaf = False
        """Whether watches hear nothing, as before the history is dropped."""
        self.turned_away: set[str] = set()
        """IP numbers of callers that are turned away while others are served."""
        self.calls: list[str] = []
        self._items: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[Change] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2**20)
        app.router.add_get("/v1/objects/{kind}", self._list_or_watch)
        app.router.add_post("/v1/objects/{kind}", self._create)
        app.router.add_put("/v1/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/v1/objects/{kind}/{name}", self._delete)
        return app

    async def put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        """Create or replace an object, as operators and runners do."""
        known = self._items.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["createRev"]
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self.revision,
            "createRev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._items[kind][name] = item
        await self._note(Change(self.revision, kind, item, is_deleted=False))
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, as when a runner's entry ends."""
        item = self._items.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        gone = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
        await self._note(Change(self.revision, kind, gone, is_deleted=True))

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._items.get(kind, {}))

    def forget_history(self) -> None:
        """Drop the history: watches from before now get 410."""
        self._history.clear()
        self._forgotten = self.revision

    async def _note(self, change: Change) -> None:
        self._history.append(change)
        async with self._changed:
            self._changed.notify_all()

    async def _list_or_watch(self, request: web.Request) -> web.Response:
        await self._meet_fault(request)
        if "watch" in request.query:
            return await self._watch(request)
        kind = request.match_info["kind"]
        after = request.query.get("afterRev", "")
        names = [name for name in self.names(kind) if name > after]
        items = [self._items[kind][name] for name in names[:MOST_ITEMS]]
        return web.json_response(
            {
                "items": items,
                "more": len(names) > MOST_ITEMS,
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if self.is_deaf:
            await asyncio.sleep(FOREVER_S)
        kind = request.match_info["kind"]
        since = int(request.query["watch"])
        if since < self._forgotten:
            return web.json_response({}, status=410)
        wait_s = int(request.query.get("waitMs", "0")) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while self.is_deaf or not self._since(kind, since):
                    await self._changed.wait()
        except TimeoutError:
            pass  # the watch has waited as long as it was asked to
        if since < self._forgotten:
            return web.json_response({}, status=410)
        events = [
            {"object": change.item, "deleted": change.is_deleted}
            for change in self._since(kind, since)
        ]
        return web.json_response({"events": events, "storeRevision": self.revision})

    def _since(self, kind: str, revision: int) -> list[Change]:
        return [
            change
            for change in self._history
            if change.kind == kind and change.revision > revision
        ]

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        await self._meet_fault(request)
        known = self._items.get(kind, {}).get(name)
        if known is not None:
            return web.json_response(known, status=409)
        await self.put(kind, name, body["spec"])
        await self._lose_reply()
        return web.json_response(self._items[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self._meet_fault(request)
        known = self._items.get(kind, {}).get(name)
        if known is None:
            return web.json_response({}, status=404)
        wanted = body["metadata"].get("revision")
        if wanted is not None and wanted != known["metadata"]["revision"]:
            return web.json_response(known, status=409)
        await self.put(kind, name, body["spec"])
        await self._lose_reply()
        return web.json_response(self._items[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        await self._meet_fault(request)
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return web.json_response({})

    async def _meet_fault(self, request: web.Request) -> None:
        self.calls.append(f"{request.method} {request.path_qs}")
        if request.remote in self.turned_away:
            raise web.HTTPServiceUnavailable
        if self.fault is StoreFault.BUSY:
            raise web.HTTPServiceUnavailable
        if self.fault is StoreFault.MANY:
            raise web.HTTPTooManyRequests
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(FOREVER_S)
        if self.fault is StoreFault.RESET and request.transport is not None:
            request.transport.abort()

    async def _lose_reply(self) -> None:
        if self.fault is StoreFault.LOST_REPLY:
            await asyncio.sleep(FOREVER_S)
