"""A fake of the platform's object store with injectable faults."""

from __future__ import annotations

import asyncio
import json
from enum import Enum
from typing import Any, NamedTuple

from aiohttp import web

from clementineyoke_standins.edge.endless_answers import BYTES_PER_S, FILLER

MAX_ITEMS_PER_PAGE = 500
MS_PER_S = 1000.0
HANG_S = 3600.0
"""Time for which calls hang; longer than any test."""


class StoreFault(Enum):
    """Faults that affect calls to the store."""

    UNAVAILABLE = "busy"
    """Rejects calls with 503 without executing them."""
    TOO_MANY_REQUESTS = "many"
    """Rejects calls with 429 without executing them."""
    RESET = "reset"
    """Resets the connection of each call; writes are executed nevertheless."""
    SILENT = "silent"
    """Never replies and does not execute calls."""
    LOST_REPLY = "lost_reply"
    """Executes writes but never replies to them."""


class Change(NamedTuple):
    """One change in the store's history."""

    revision: int
    kind: str
    item: dict[str, Any]
    is_deleted: bool


class EdgeStore:
    """Store objects by kind and name with one revision counter."""

    def __init__(self) -> None:
        self.revision = 0
        self.fault: StoreFault | None = None
        self.faulty_call_interval = 1
        """The fault affects each call whose number is a multiple of this."""
        self.faulty_methods: frozenset[str] | None = None
        """HTTP methods of the calls that the fault affects; None for all."""
        self.answer_delay_s = 0.0
        """Time that each call takes longer."""
        self.cut_watches_after_s: float | None = None
        """Time after which a waiting watch is cut off; None if none is."""
        self.cut_watches = 0
        self.suspends_watches = False
        """Whether watches receive no events, as while history is being lost."""
        self.rejected_addresses: set[str] = set()
        """IP addresses of callers whose calls are rejected with 503."""
        self.calls: list[str] = []
        self._items: dict[str, dict[str, dict[str, Any]]] = {}
        self._raw_specs: dict[str, str] = {}
        self.is_endless = False
        """Whether lists and watches are answered with bytes without end."""
        self.endless_bytes: list[int] = []
        """Bytes that each such answer sent until the node closed the connection."""
        self._history: list[Change] = []
        self._history_start = 0
        self._call_count = 0
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2**20)
        app.router.add_get("/v1/objects/{kind}", self._list_or_watch)
        app.router.add_post("/v1/objects/{kind}", self._create_object)
        app.router.add_put("/v1/objects/{kind}/{name}", self._replace_object)
        app.router.add_delete("/v1/objects/{kind}/{name}", self._delete_object)
        return app

    async def put(self, kind: str, name: str, spec: dict[str, Any] | str) -> int:
        """Create or replace an object and return the store's revision."""
        existing = self._items.setdefault(kind, {}).get(name)
        if existing is not None and existing["spec"] == spec:
            return self.revision
        self.revision += 1
        created = (
            self.revision if existing is None else existing["metadata"]["createRev"]
        )
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self.revision,
            "createRev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._items[kind][name] = item
        await self._record_change(Change(self.revision, kind, item, is_deleted=False))
        return self.revision

    async def put_raw(self, kind: str, name: str, spec: str) -> int:
        """Create or replace an object whose spec is sent as this text."""
        placeholder = f"raw spec {len(self._raw_specs)}"
        self._raw_specs[placeholder] = spec
        return await self.put(kind, name, placeholder)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._items.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        removed = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
        await self._record_change(Change(self.revision, kind, removed, is_deleted=True))

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the objects of a kind."""
        return sorted(self._items.get(kind, {}))

    def drop_history(self) -> None:
        """Drop the history, so that watches from older revisions get 410."""
        self._history.clear()
        self._history_start = self.revision

    async def _record_change(self, change: Change) -> None:
        self._history.append(change)
        async with self._changed:
            self._changed.notify_all()

    async def _send_endless(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        sent_bytes = 0
        try:
            while True:
                await response.write(FILLER)
                sent_bytes += len(FILLER)
                await asyncio.sleep(len(FILLER) / BYTES_PER_S)
        except ConnectionError:
            return response
        finally:
            self.endless_bytes.append(sent_bytes)

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        await self._apply_fault(request)
        if "watch" in request.query:
            return await self._watch(request)
        if self.is_endless:
            return await self._send_endless(request)
        kind = request.match_info["kind"]
        after = request.query.get("afterRev", "")
        names = [name for name in self.names(kind) if name > after]
        items = [self._items[kind][name] for name in names[:MAX_ITEMS_PER_PAGE]]
        return self._encode(
            {
                "items": items,
                "more": len(names) > MAX_ITEMS_PER_PAGE,
                "storeRevision": self.revision,
            }
        )

    def _encode(self, document: dict[str, Any]) -> web.Response:
        text = json.dumps(document)
        for placeholder, spec in self._raw_specs.items():
            text = text.replace(json.dumps(placeholder), spec)
        return web.Response(text=text, content_type="application/json")

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        if self.suspends_watches:
            await asyncio.sleep(HANG_S)
        kind = request.match_info["kind"]
        since = int(request.query["watch"])
        if since < self._history_start:
            return web.json_response({}, status=410)
        wait_s = int(request.query.get("waitMs", "0")) / MS_PER_S
        cut_s = self.cut_watches_after_s
        is_cut = cut_s is not None and cut_s < wait_s
        try:
            async with asyncio.timeout(cut_s if is_cut else wait_s), self._changed:
                while self.suspends_watches or not self._changes_since(kind, since):
                    await self._changed.wait()
        except TimeoutError:
            if is_cut and request.transport is not None:
                self.cut_watches += 1
                request.transport.close()
        if since < self._history_start:
            return web.json_response({}, status=410)
        if self.is_endless:
            return await self._send_endless(request)
        events = [
            {"object": change.item, "deleted": change.is_deleted}
            for change in self._changes_since(kind, since)
        ]
        return self._encode({"events": events, "storeRevision": self.revision})

    def _changes_since(self, kind: str, revision: int) -> list[Change]:
        return [
            change
            for change in self._history
            if change.kind == kind and change.revision > revision
        ]

    async def _create_object(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        await self._apply_fault(request)
        existing = self._items.get(kind, {}).get(name)
        if existing is not None:
            return web.json_response(existing, status=409)
        await self.put(kind, name, body["spec"])
        await self._hang_if_reply_lost()
        return web.json_response(self._items[kind][name])

    async def _replace_object(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self._apply_fault(request)
        existing = self._items.get(kind, {}).get(name)
        if existing is None:
            return web.json_response({}, status=404)
        expected = body["metadata"].get("revision")
        if expected is not None and expected != existing["metadata"]["revision"]:
            return web.json_response(existing, status=409)
        await self.put(kind, name, body["spec"])
        await self._hang_if_reply_lost()
        return web.json_response(self._items[kind][name])

    async def _delete_object(self, request: web.Request) -> web.Response:
        await self._apply_fault(request)
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return web.json_response({})

    async def _apply_fault(self, request: web.Request) -> None:
        self.calls.append(f"{request.method} {request.path_qs}")
        await asyncio.sleep(self.answer_delay_s)
        if request.remote in self.rejected_addresses:
            raise web.HTTPServiceUnavailable
        if (
            self.faulty_methods is not None
            and request.method not in self.faulty_methods
        ):
            return
        self._call_count += 1
        if self._call_count % self.faulty_call_interval:
            return
        if self.fault is StoreFault.UNAVAILABLE:
            raise web.HTTPServiceUnavailable
        if self.fault is StoreFault.TOO_MANY_REQUESTS:
            raise web.HTTPTooManyRequests
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(HANG_S)
        if self.fault is StoreFault.RESET and request.transport is not None:
            request.transport.abort()

    async def _hang_if_reply_lost(self) -> None:
        if self.fault is StoreFault.LOST_REPLY:
            await asyncio.sleep(HANG_S)
