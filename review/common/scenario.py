"""A small deployment on loopback, its consumers, and the record of a case."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import traceback
from typing import TYPE_CHECKING, Any, NamedTuple, Self

from fleet import Fleet, Node
from http_wire import Message, encode, read_chunk, read_head, read_message
from standins import Answer, Runner, Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

HOSTNAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "huvo11a"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._start_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, event: str, **details: Any) -> None:
        """Add a line with the seconds since the start of the case."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self._lines.append(f"{at_s:8.3f} {event} {text}".rstrip())

    def write(self) -> None:
        """Write the record beside the script."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Deployment:
    """Nodes as processes, with stand-ins of the store and of the runners."""

    def __init__(
        self, *, net: int, routes: list[dict[str, Any]], runners: int, answer: Answer
    ) -> None:
        self.fleet = Fleet(net=net, zones=["nyarugenge", "kicukiro", "gasabo"])
        self.store = Store()
        self.zones = [node.fields["zone"] for node in self.fleet.nodes]
        self.runners = [
            Runner(
                f"i-{n}",
                SERVICE,
                self.fleet.runner_hosts[n],
                self.fleet.ports["runner"],
                answer,
            )
            for n in range(runners)
        ]
        self._routes = routes

    async def __aenter__(self) -> Self:
        """Start everything, and wait until the nodes are ready."""
        try:
            await self._start()
        except BaseException:
            await self.fleet.end()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all nodes."""
        await self.fleet.end()

    async def _start(self) -> None:
        await self.store.start(self.fleet.store_host, self.fleet.ports["store"])
        for n, runner in enumerate(self.runners):
            await runner.start()
            zone = self.zones[n % len(self.zones)]
            entry = runner.entry(zone, slots=64, is_engine=True)
            self.store.put("servers", runner.runner_id, entry)
        service = {
            "name": SERVICE,
            "healthCheck": "/healthz",
            "maxConnections": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 515179,
                "models": [{"name": "m"}],
            },
        }
        tenant = {"name": "hule930", "apiKeys": [KEY], "priority": 1}
        self.store.put(
            "config",
            "main",
            {
                "version": 7,
                "routes": self._routes,
                "services": [service],
                "limits": LIMITS,
                "tenants": [tenant],
            },
        )
        await self.fleet.start()
        await self.fleet.wait_until_ready()
        # The nodes have found each other, and are in touch for stableWindowMs.
        await asyncio.sleep(4.0)

    def runs_of(self, attempt_id: str) -> list[str]:
        """Return the runners that began to work on a request."""
        return [
            run.runner_id
            for runner in self.runners
            for run in runner.runs
            if run.request.get("X-Attempt-Id") == attempt_id
        ]

    async def resolve(self, node: Node) -> list[str]:
        """Return the addresses that a node tells consumers to use."""
        reader, writer = await asyncio.open_connection(
            node.host, self.fleet.ports["directory"]
        )
        target = f"/v1/resolve?name={HOSTNAME}&region=kigali&zone={node.fields['zone']}"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await read_message(reader, is_response=True)
        writer.close()
        return list(json.loads(answer.body)["addresses"])


class Received(NamedTuple):
    """What a consumer got for one request."""

    attempt_id: str
    status: int
    """0 if no head arrived."""
    body: bytes
    is_complete: bool
    head: Message | None = None


def request_fields(attempt_id: str, budget_ms: int) -> list[tuple[str, str]]:
    """Return the headers of a request without a prompt."""
    return [
        ("Host", HOSTNAME),
        ("X-Attempt-Id", attempt_id),
        ("X-Deadline-Ms", str(budget_ms)),
        ("Authorization", f"Token {KEY}"),
    ]


def prompt_fields(number: int) -> list[tuple[str, str]]:
    """Return the headers of a prompt whose last part is the request's own."""
    shared, own = 0x91BD0000 + number % 48, 0xE4400000 + number
    parts = f"5c1e07a2:800,{shared:x}:410,{own:x}:250"
    return [
        ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"),
        ("X-Prompt-Prefix", parts),
    ]


async def send_request(
    address: str,
    path: str,
    fields: list[tuple[str, str]],
    body: bytes,
    *,
    timeout_s: float,
) -> Received:
    """Send one request on a new channel, and read its answer to the end."""
    attempt_id = dict(fields)["X-Attempt-Id"]
    host, _, port = address.rpartition(":")
    head: Message | None = None
    got = b""
    is_complete = False
    writer: asyncio.StreamWriter | None = None
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"POST {path} HTTP/1.1", fields, body))
            head = await read_head(reader)
            if "chunked" in (head.get("Transfer-Encoding") or "").lower():
                while chunk := await read_chunk(reader):
                    got += chunk
            else:
                length = int(head.get("Content-Length") or 0)
                got = await reader.readexactly(length)
            is_complete = True
    if writer is not None:
        writer.close()
    status = 0 if head is None else head.status
    return Received(attempt_id, status, got, is_complete, head)


def run_case(
    folder: Path, case: Callable[[Record], Awaitable[list[str]]], *, limit_s: float
) -> None:
    """Run a case, which returns how the rule was broken, and exit as asked."""
    record = Record(folder / "record.txt")

    async def limited() -> list[str]:
        task = asyncio.current_task()
        if task is not None:
            # A script that is stopped ends its nodes as well.
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return list(await case(record))

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        record.add("the case could not run")
        record.write()
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record.add(f"RULE BROKEN: {line}")
        print(line)
    record.add("result", trouble=int(has_trouble()), broken=len(broken))
    record.write()
    print(f"{'broken' if broken else 'held'}: {len(broken)}")
    sys.exit(BROKEN if broken else HELD)
