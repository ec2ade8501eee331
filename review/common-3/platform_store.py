"""A stand-in of the platform's store: objects, lists and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
MS_PER_S = 1000.0


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]] | None:
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = [
        (name.strip(), value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    ]
    return lines[0], fields


def find_field(fields: list[tuple[str, str]], name: str) -> str | None:
    """Return the value of a header, or None."""
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(
    reader: asyncio.StreamReader, fields: list[tuple[str, str]]
) -> bytes:
    """Return a body with a length or in chunks."""
    if (find_field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(find_field(fields, "Content-Length") or 0))


class Store:
    """Keep objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, address, port)

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision, the confirmation."""
        items = self._items.setdefault(kind, {})
        known = items.get(name)
        if known is not None and known["spec"] == spec:
            return int(known["metadata"]["revision"])
        self.revision += 1
        created = self.revision if known is None else known["metadata"]["createRev"]
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None if known is None else known["status"],
        }
        items[name] = item
        await self._record(kind, item, is_deleted=False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._items.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        metadata = {**item["metadata"], "revision": self.revision}
        await self._record(kind, {**item, "metadata": metadata}, is_deleted=True)

    async def _record(
        self, kind: str, item: dict[str, Any], *, is_deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, item, is_deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                line, fields = message
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                status, document = await self._answer(method, target, body)
                text = json.dumps(document).encode()
                reason = REASONS.get(status, "Error")
                head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(text)}\r\n"
                writer.write(head.encode())
                writer.write(b"Content-Type: application/json\r\n\r\n" + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        words = parts.path.removeprefix("/v1/objects/").split("/")
        kind, name = words[0], "/".join(words[1:])
        items = self._items.setdefault(kind, {})
        if method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET":
            if "watch" in query:
                return 200, await self._watch(kind, query)
            listed = [items[key] for key in sorted(items)]
            return 200, {"items": listed, "more": False, "storeRevision": self.revision}
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        document = json.loads(body)
        if method == "POST":
            name = document["metadata"]["name"]
            if name in items:
                return 409, items[name]
        elif name not in items:
            return 404, {}
        await self.put(kind, name, document["spec"])
        return 200, items[name]

    async def _watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        since = int(query["watch"])
        wait_s = int(query.get("waitMs", "0")) / MS_PER_S

        def changes() -> list[dict[str, Any]]:
            return [
                {"object": item, "deleted": is_deleted}
                for revision, changed, item, is_deleted in self._history
                if changed == kind and revision > since
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                while not changes():
                    await self._changed.wait()
        except TimeoutError:
            pass
        return {"events": changes(), "storeRevision": self.revision}
