"""Stand-ins of runners and consumers that speak HTTP/1.1 as the pages tell."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from platform_store import find_field, read_body, read_head

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from fleet import NodeMachine

READY_TRIES = 250
READY_PAUSE_S = 0.1
_ids = itertools.count(1)


class Run(NamedTuple):
    """A request as a runner got it."""

    attempt: str
    runner: str
    target: str
    key: str | None
    tenant: str | None
    body: bytes
    arrived_s: float
    fields: list[tuple[str, str]]


class Runner:
    """Answer requests; ``work`` decides how and writes the answer."""

    def __init__(
        self,
        *,
        runner_id: str,
        zone: str,
        work: Callable[[Runner, Run, asyncio.StreamWriter], Awaitable[bool]],
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.port = 0
        self.runs: list[Run] = []
        self._work = work
        self._server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on a loopback port."""
        self.port = port
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def entry(
        self, service: str, *, slots: int, state: str = "ready"
    ) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                line, fields = message
                body = await read_body(reader, fields)
                run = Run(
                    attempt=find_field(fields, "X-Attempt-Id") or "",
                    runner=self.runner_id,
                    target=line.split(" ")[1],
                    key=find_field(fields, "Authorization"),
                    tenant=find_field(fields, "X-Tenant"),
                    body=body,
                    arrived_s=time.monotonic(),
                    fields=fields,
                )
                expected = find_field(fields, "X-Target-Instance")
                if expected not in (None, self.runner_id):
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\n")
                    writer.write(f"X-Instance-Id: {self.runner_id}\r\n".encode())
                    writer.write(b"Content-Length: 0\r\n\r\n")
                    continue
                self.runs.append(run)
                if not await self._work(self, run, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def head_of(run: Run, *, status: str = "200 OK", length: int | None = None) -> bytes:
    """Return the head of a runner's answer, in chunks if there is no length."""
    frame = "Transfer-Encoding: chunked"
    content = "text/event-stream"
    if length is not None:
        frame, content = f"Content-Length: {length}", "application/octet-stream"
    return (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {run.attempt}\r\n"
        f"X-Server-Signature: {run.runner}.{run.attempt}\r\n"
        f"Content-Type: {content}\r\n{frame}\r\n\r\n"
    ).encode()


def chunk_of(data: bytes) -> bytes:
    """Return a chunk; the last one if there is no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Answer(NamedTuple):
    """What a consumer got for one request."""

    attempt: str
    status: int
    fields: list[tuple[str, str]]
    body: bytes
    is_complete: bool
    """Whether the answer came to its end."""
    sent_s: float
    ended_s: float


class Channel:
    """A consumer's kept channel to one node."""

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._writer is not None
            and self._reader is not None
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(
            self._address, self._port
        )

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()

    async def send(
        self,
        target: str,
        *,
        host: str,
        key: str,
        budget_ms: int,
        method: str = "POST",
        body: bytes = b"",
        extra: dict[str, str] | None = None,
        on_head: Callable[[str], None] = lambda _: None,
        prefix: str = "a",
    ) -> Answer:
        """Send a request and read its answer; 0 is the status without an answer."""
        attempt = f"{prefix}{next(_ids):015x}"
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {budget_ms}\r\n"
            f"Authorization: Token {key}\r\nContent-Length: {len(body)}\r\n"
        )
        for name, value in (extra or {}).items():
            head += f"{name}: {value}\r\n"
        sent_s = time.monotonic()
        status, fields, content = 0, [], bytearray()
        is_complete = False
        try:
            self._writer.write(head.encode() + b"\r\n" + body)
            await self._writer.drain()
            message = await read_head(self._reader)
            if message is not None:
                status, fields = int(message[0].split(" ")[1]), message[1]
                on_head(attempt)
                is_complete = await self._read_content(fields, content)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if (find_field(fields, "Connection") or "").lower() == "close":
            self.close()
        return Answer(
            attempt,
            status,
            fields,
            bytes(content),
            is_complete,
            sent_s,
            time.monotonic(),
        )

    async def _read_content(
        self, fields: list[tuple[str, str]], content: bytearray
    ) -> bool:
        if (find_field(fields, "Transfer-Encoding") or "").lower() != "chunked":
            length = int(find_field(fields, "Content-Length") or 0)
            content += await self._reader.readexactly(length)
            return True
        while True:
            size = int((await self._reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await self._reader.readexactly(size + 2)
            if not size:
                return True
            content += part[:-2]


async def fetch(address: str, port: int, target: str) -> tuple[int, dict[str, Any]]:
    """Return the status and the JSON of a GET call, as a consumer or the platform."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        writer.write(f"{head}\r\n".encode())
        message = await read_head(reader)
        if message is None:
            return 0, {}
        body = await read_body(reader, message[1])
        status = int(message[0].split(" ")[1])
        return status, json.loads(body) if status == 200 and body else {}
    finally:
        writer.close()


async def wait_ready(machines: Iterable[NodeMachine]) -> bool:
    """Wait until the platform's check finds all machines ready."""
    for machine in machines:
        for _ in range(READY_TRIES):
            try:
                status, _ = await fetch(
                    machine.address, machine.ready_port, "/v1/readyz"
                )
            except OSError:
                status = 0
            if status == 200:
                break
            await asyncio.sleep(READY_PAUSE_S)
        else:
            return False
    return True
