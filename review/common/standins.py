"""Stand-ins of the platform's store and of its runners, after the users' pages."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from http_wire import Message, encode, serve

MAX_PAGE = 500


class Change(NamedTuple):
    """One change in the store's history."""

    revision: int
    kind: str
    item: dict[str, Any]
    is_deleted: bool


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self._revision = 1
        self._items: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[Change] = []
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Open the store's port."""
        self.server = await serve(self._handle, host, port)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, as the operator or a runner does."""
        items = self._items.setdefault(kind, {})
        known = items.get(name)
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        created = self._revision if known is None else known["metadata"]["createRev"]
        metadata = {
            "name": name,
            "revision": self._revision,
            "createRev": created,
            "finalizers": [],
            "deleting": False,
        }
        items[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._record(kind, items[name], is_deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._items.get(kind, {}).pop(name, None)
        if item is None:
            return
        self._revision += 1
        metadata = {**item["metadata"], "revision": self._revision}
        self._record(kind, {**item, "metadata": metadata}, is_deleted=True)

    def _record(self, kind: str, item: dict[str, Any], *, is_deleted: bool) -> None:
        self._history.append(Change(self._revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        status, content = await self._respond(request)
        writer.write(
            encode(
                f"HTTP/1.1 {status} X",
                [("Content-Type", "application/json")],
                json.dumps(content).encode(),
            )
        )
        await writer.drain()

    async def _respond(self, request: Message) -> tuple[int, Any]:
        path, _, text = request.target.partition("?")
        query = dict(parse_qsl(text))
        parts = path.strip("/").split("/")
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        items = self._items.setdefault(kind, {})
        if request.method == "GET" and "watch" in query:
            return 200, await self._watch(kind, query)
        if request.method == "GET" and not name:
            return 200, self._list(items, query.get("afterRev", ""))
        if request.method == "GET":
            return (200, items[name]) if name in items else (404, {})
        if request.method == "POST":
            body = json.loads(request.body)
            name = body["metadata"]["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, body["spec"])
            return 200, items[name]
        if name not in items:
            return 404, {}
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        body = json.loads(request.body)
        expected = body["metadata"].get("revision")
        if expected not in (None, items[name]["metadata"]["revision"]):
            return 409, items[name]
        self.put(kind, name, body["spec"])
        return 200, items[name]

    def _list(self, items: dict[str, Any], after: str) -> dict[str, Any]:
        names = [name for name in sorted(items) if name > after]
        return {
            "items": [items[name] for name in names[:MAX_PAGE]],
            "more": len(names) > MAX_PAGE,
            "storeRevision": self._revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        since, end_s = int(query["watch"]), time.monotonic()
        end_s += int(query.get("waitMs", "0")) / 1000.0
        while True:
            changed = self._changed
            events = [
                {"object": change.item, "deleted": change.is_deleted}
                for change in self._history
                if change.kind == kind and change.revision > since
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "storeRevision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class Run(NamedTuple):
    """A request that a runner began to work on."""

    at_s: float
    runner_id: str
    request: Message


Answer = Callable[["Runner", Message, asyncio.StreamWriter], Awaitable[None]]


class Runner:
    """A runner that records what it runs, and answers as the case says."""

    def __init__(
        self, runner_id: str, service: str, host: str, port: int, answer: Answer
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.host = host
        self.port = port
        self.runs: list[Run] = []
        self._answer = answer
        self._channels: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Open the runner's port."""
        self.server = await serve(self._handle, self.host, self.port)

    def crash(self) -> None:
        """Close the port and reset all channels, as the end of a process does."""
        self.server.close()
        for writer in self._channels:
            writer.transport.abort()

    def entry(self, zone: str, *, slots: int, is_engine: bool) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        models = [{"name": "m", "version": 1, "adapters": []}] if is_engine else []
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": models,
            "seq": 0,
        }

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        self._channels.add(writer)
        if request.target == "/healthz":
            fields = [("X-Instance-Id", self.runner_id)]
            writer.write(encode("HTTP/1.1 200 OK", fields))
            await writer.drain()
            return
        if request.get("X-Target-Instance") not in (None, self.runner_id):
            fields = [("X-Instance-Id", self.runner_id)]
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields))
            await writer.drain()
            return
        self.runs.append(Run(time.monotonic(), self.runner_id, request))
        await self._answer(self, request, writer)


def answer_fields(request: Message) -> list[tuple[str, str]]:
    """Return the echoed id and the proof of a runner's answer."""
    attempt = request.get("X-Attempt-Id") or ""
    return [("X-Attempt-Id", attempt), ("X-Server-Signature", f"proof.{attempt}")]
