"""Small stand-ins of the platform, runners and callers, and the nodes as processes.

Only the standard library is used. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REPOSITORY = Path(__file__).resolve().parents[2]
STORE_ADDRESS = "127.0.0.1"
HOST = "cases.example"
KEY = "key-of-the-case"
TENANT = "tenant-of-the-case"
HEARTBEAT_MS = 1200
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
    "capFactor": 2,
    "ttl_max_s": 5,
}
CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"


def free_port(address: str = STORE_ADDRESS, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free on an address now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """The lines of ``record.txt``, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_s:9.3f} {text}\n")
        self._file.flush()


class Head:
    """The first lines of a message and its body."""

    def __init__(self, start: str, fields: dict[str, str], body: bytes) -> None:
        self.start = start
        self.fields = fields
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the fields, with names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.strip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk, empty at the end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(start: str, fields: dict, body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's store: objects, one revision, lists and watches.

    Each node has a port of its own, so that its calls are told from the others'.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.items: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.calls: list[tuple[float, str, str]] = []
        self.cut_watch_after_s: float | None = None
        """A watch that has waited for so long is cut off; None if none is."""
        self.cuts = 0
        self.confirmed_from: dict[str, list[tuple[float, str, int]]] = {}
        """For each node, when it asked on from which revision, by kind."""
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []

    async def listen(self, node: str) -> str:
        """Open a port for one node and return its address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while await self._serve_one(node, reader, writer):
                    pass
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            except asyncio.CancelledError:
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, STORE_ADDRESS, 0)
        self._servers.append(server)
        return f"{STORE_ADDRESS}:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Close all ports."""
        for server in self._servers:
            server.close()

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object, and return its revision."""
        known = self.items.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["createRev"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self.items[kind][name] = item
        await self._note(kind, item, is_deleted=False)
        return self.revision

    async def remove(self, kind: str, name: str) -> int:
        """Remove an object, and return the revision of that."""
        item = self.items[kind].pop(name)
        self.revision += 1
        gone = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
        await self._note(kind, gone, is_deleted=True)
        return self.revision

    async def _note(self, kind: str, item: dict, *, is_deleted: bool) -> None:
        self.history.append((self.revision, kind, item, is_deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve_one(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        start, fields = await read_head(reader)
        body = await read_body(reader, fields)
        method, target, _ = start.split(" ")
        self.calls.append((time.monotonic(), node, f"{method} {target}"))
        path, _, query_text = target.partition("?")
        query = dict(
            part.split("=", 1) for part in query_text.split("&") if "=" in part
        )
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        if method == "GET" and "watch" in query:
            answer = await self._watch(node, kind, query)
            if answer is None:
                self.cuts += 1
                self.record.write(f"cut off the watch of {node} on {kind}")
                writer.close()
                return False
            status, document = answer
        elif method == "GET":
            status, document = self._list(kind, name, query)
        else:
            status, document = await self._write(method, kind, name, query, body)
        writer.write(
            encode(
                f"HTTP/1.1 {status} X",
                {"Content-Type": "application/json"},
                json.dumps(document).encode(),
            )
        )
        await writer.drain()
        return True

    def _list(self, kind: str, name: str, query: dict) -> tuple[int, object]:
        items = self.items.get(kind, {})
        if name:
            return (200, items[name]) if name in items else (404, {})
        names = [key for key in sorted(items) if key > query.get("afterRev", "")]
        page = [items[key] for key in names[:500]]
        more = len(names) > len(page)
        return 200, {"items": page, "more": more, "storeRevision": self.revision}

    async def _watch(
        self, node: str, kind: str, query: dict
    ) -> tuple[int, object] | None:
        since = int(query["watch"])
        self.confirmed_from.setdefault(node, []).append((time.monotonic(), kind, since))
        wait_s = int(query.get("waitMs", "0")) / 1000.0
        cut_s = self.cut_watch_after_s
        is_cut = cut_s is not None and cut_s < wait_s
        try:
            async with (
                asyncio.timeout(cut_s if is_cut else wait_s),
                self._changed,
            ):
                while not self._events(kind, since):
                    await self._changed.wait()
        except TimeoutError:
            if is_cut:
                return None
        events = [
            {"object": item, "deleted": is_deleted}
            for _, _, item, is_deleted in self._events(kind, since)
        ]
        return 200, {"events": events, "storeRevision": self.revision}

    def _events(self, kind: str, since: int) -> list:
        return [
            change for change in self.history if change[0] > since and change[1] == kind
        ]

    async def _write(
        self, method: str, kind: str, name: str, query: dict, body: bytes
    ) -> tuple[int, object]:
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["metadata"]["name"]
            known = self.items.get(kind, {}).get(name)
            if known is not None:
                return 409, known
        known = self.items.get(kind, {}).get(name)
        if known is None and method != "POST":
            return 404, {}
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        wanted = document.get("metadata", {}).get("revision")
        if wanted is not None and wanted != known["metadata"]["revision"]:
            return 409, known
        await self.put(kind, name, document.get("spec"))
        return 200, self.items[kind][name]


class Arrival:
    """A request as a runner got it."""

    def __init__(self, start: str, fields: dict[str, str], body: bytes) -> None:
        self.time_s = time.monotonic()
        self.method, self.target, _ = start.split(" ")
        self.fields = fields
        self.body = body
        self.attempt = fields.get("x-attempt-id", "")
        self.has_run = False
        self.was_answered = False


class Runner:
    """A sound runner: it works for a while and answers with its proof."""

    def __init__(
        self,
        record: Record,
        *,
        name: str,
        service: str,
        zone: str,
        slots: int = 8,
        work_s: float = 0.02,
        queue: int = 1000,
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.arrivals: list[Arrival] = []
        self.port = 0
        self.running = 0
        """Requests that run or are queued."""
        self.queue = queue
        """Requests that are queued beside those that run; more are rejected."""
        self.rejections = 0
        self.extra_share = 0.0
        """Share of the rejections after which an extra one follows late."""
        self.extras = 0
        self._free = asyncio.Semaphore(slots)
        self.answer_hook = None
        """Answers a request in another way if it returns True."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP:PORT."""
        return f"{STORE_ADDRESS}:{self.port}"

    def spec(self, state: str = "ready") -> dict:
        """Return the runner's entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, STORE_ADDRESS, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """End like a process: no listener, and all connections are closed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        extra = [b""]
        try:
            while await self._serve_one(reader, writer, extra):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        extra: list[bytes],
    ) -> bool:
        start, fields = await read_head(reader)
        body = await read_body(reader, fields)
        arrival = Arrival(start, fields, body)
        if extra[0]:
            # An extra response, at the point where the next one is expected.
            self.extras += 1
            self.record.write(f"extra before {arrival.attempt} at {self.name}")
            writer.write(extra[0])
            extra[0] = b""
        if arrival.target == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", {"X-Instance-Id": self.name}))
            return True
        self.arrivals.append(arrival)
        fields_out = {"X-Attempt-Id": arrival.attempt}
        if fields.get("x-target-instance", self.name) != self.name:
            fields_out["X-Instance-Id"] = self.name
            writer.write(encode("HTTP/1.1 421 Misdirected Request", fields_out))
            return True
        if self.running >= self.slots + self.queue:
            # as `fleetbench wire` shows it: "a server sheds"
            message = encode("HTTP/1.1 503 Service Unavailable", {"X-Not-Executed": 1})
            self.rejections += 1
            writer.write(message)
            if random.random() < self.extra_share:
                extra[0] = message
            return True
        self.running += 1
        try:
            async with self._free:
                arrival.has_run = True
                self.record.write(f"run {arrival.attempt} at {self.name}")
                if self.answer_hook is not None:
                    answered = await self.answer_hook(self, arrival, reader, writer)
                    if answered is not None:
                        return answered
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        fields_out["X-Server-Signature"] = f"proof.{self.name}.{arrival.attempt}"
        fields_out["X-Server-Load"] = f"{self.running},0,{self.slots}"
        text = f"answer of {self.name} to {arrival.attempt}".encode()
        writer.write(encode("HTTP/1.1 200 OK", fields_out, text))
        await writer.drain()
        arrival.was_answered = True
        return True


def route(
    name: str,
    kind: str,
    service: str,
    *,
    attempts: int = 2,
    resumable: bool = False,
    timeout_ms: int = 1500,
    target_ms: int = 125,
) -> dict:
    """Return a route of the desired state, whose path begins with its name."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": resumable,
        "gapAimMs": 400,
    }


def state(version: int, routes: list[dict], keys: list[str] | None = None) -> dict:
    """Return a desired state."""
    services = sorted({entry["service"] for entry in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "healthCheck": "/healthz"} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": keys or [KEY]}],
    }


class Node:
    """A node, started with the command and the template of the deploy file."""

    def __init__(
        self, *, name: str, address: str, zone: str, store: str, ports: dict, seeds: str
    ) -> None:
        self.name = name
        self.address = address
        self.front = (address, ports["front"])
        self.ports = ports
        self.fields = {
            "node": name,
            "role": "node",
            "ip": address,
            "zone": zone,
            "region": "region",
            "listen.front": f"{address}:{ports['front']}",
            "listen.ready": f"{address}:{ports['ready']}",
            "listen.control": f"{address}:{ports['control']}",
            "listen.directory": f"{address}:{ports['directory']}",
            "portRange.0": ports["peer"],
            "seeds": seeds.split(","),
            "limits.cpuShare": 0.537,
            "limits.cores": 2,
            "limits.linkMbps": 1000.0,
            "platform.address": store,
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": CONTRACTS.split(","),
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        self.process: asyncio.subprocess.Process | None = None
        self._folder = Path()

    def render(self, text: str) -> str:
        """Fill a template of the deploy file."""

        def section(match: re.Match) -> str:
            return match[2] if self.fields.get(match[1]) else ""

        def value(match: re.Match) -> str:
            found = self.fields.get(match[1])
            if match[2]:
                return json.dumps(found)
            return "" if found is None else str(found)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)

    async def start(self, folder: Path) -> None:
        """Write the settings and start the process."""
        self._folder = folder
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        settings = self.render((REPOSITORY / role["template"]).read_text())
        path = folder / f"{self.name}.conf"
        path.write_text(settings)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "CLEMENTINEYOKE_NODE_FILE": str(path),
            **role.get("env", {}),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *[self.render(word) for word in role["run"].split(" ")],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def resident_bytes(self) -> int:
        """Return the memory that the process takes; 0 if it does not run."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def log(self) -> str:
        """Return what the process has written so far."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()


class Answer:
    """What a caller saw of one request."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.sent_s = time.monotonic()
        self.status = 0
        """0 if there was no whole answer."""
        self.fields: dict[str, str] = {}
        self.body = b""
        self.end = ""
        self.done_s = 0.0


async def ask(
    front: tuple[str, int],
    *,
    attempt: str,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    budget_ms: int = 1500,
    fields: dict[str, str] | None = None,
    key: str = KEY,
) -> Answer:
    """Send one request on a channel of its own, and read the answer."""
    answer = Answer(attempt)
    writer = None
    try:
        async with asyncio.timeout(budget_ms / 1000.0 + 0.7):
            reader, writer = await asyncio.open_connection(*front)
            message = encode_call(
                attempt, path, budget_ms, body, method=method, key=key, fields=fields
            )
            writer.write(message)
            start, answer.fields = await read_head(reader)
            answer.body = await read_body(reader, answer.fields)
            answer.status = int(start.split(" ")[1])
            answer.end = "whole"
    except TimeoutError:
        answer.end = "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.end = f"cut: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    answer.done_s = time.monotonic()
    return answer


class Channel:
    """A channel that is kept for one request after the other."""

    def __init__(self, front: tuple[str, int]) -> None:
        self._front = front
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(
        self, *, attempt: str, path: str, budget_ms: int = 1500, body: bytes = b""
    ) -> Answer:
        """Send a request and read its answer; a channel that is gone is opened anew."""
        answer = Answer(attempt)
        try:
            async with asyncio.timeout(budget_ms / 1000.0 + 0.7):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._front)
                reader, writer = self._streams
                answer.end = "sent"
                writer.write(encode_call(attempt, path, budget_ms, body))
                start, answer.fields = await read_head(reader)
                answer.body = await read_body(reader, answer.fields)
                answer.status = int(start.split(" ")[1])
                answer.end = "whole"
                if answer.fields.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            answer.end = "no answer in time"
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.end = f"{'cut' if answer.end else 'no channel'}: {error!r}"
            self.close()
        answer.done_s = time.monotonic()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def encode_call(
    attempt: str,
    path: str,
    budget_ms: int,
    body: bytes,
    *,
    method: str = "POST",
    key: str = KEY,
    fields: dict[str, str] | None = None,
) -> bytes:
    """Return a request as a caller sends it."""
    return encode(
        f"{method} {path} HTTP/1.1",
        {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(budget_ms),
            "Authorization": f"Token {key}",
            **(fields or {}),
        },
        body,
    )


class Fleet:
    """A store, nodes of several zones, and runners."""

    def __init__(self, folder: Path, *, nodes: int = 3) -> None:
        self.record = Record(folder / "record.txt")
        self.temp = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(self.record)
        self.runners: dict[str, Runner] = {}
        self.nodes: list[Node] = []
        self._count = nodes

    async def __aenter__(self) -> Fleet:
        """Return the fleet; nothing is started yet."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all processes and close all ports."""
        for node in self.nodes:
            await node.kill()
        for runner in self.runners.values():
            runner.exit()
        self.store.close()
        shutil.rmtree(self.temp, ignore_errors=True)

    async def add_runner(
        self, name: str, service: str, zone: str, **options: object
    ) -> Runner:
        """Start a runner and write its entry."""
        runner = Runner(self.record, name=name, service=service, zone=zone, **options)
        await runner.start()
        self.runners[name] = runner
        await self.store.put("servers", name, runner.spec())
        return runner

    async def start_nodes(self) -> None:
        """Start the nodes, one zone each, and wait until all are ready."""
        third = os.getpid() % 250 + 1
        addresses = [f"127.{third}.7.{n + 11}" for n in range(self._count)]
        names = ("front", "ready", "control", "directory")
        ports = {name: free_port(addresses[0]) for name in names}
        ports["peer"] = free_port(addresses[0], socket.SOCK_DGRAM)
        seeds = ",".join(f"{a}:{ports['control']}" for a in addresses[:3])
        for number, address in enumerate(addresses):
            name = f"edge-{number + 1}"
            node = Node(
                name=name,
                address=address,
                zone=f"zone-{number % 3 + 1}",
                store=await self.store.listen(name),
                ports=ports,
                seeds=seeds,
            )
            self.nodes.append(node)
            await node.start(self.temp)
        for node in self.nodes:
            if not await self.wait_ready(node):
                print(node.log()[-3000:], file=sys.stderr)
                raise SystemExit(2)

    async def wait_ready(self, node: Node, timeout_s: float = 15.0) -> bool:
        """Wait until the node answers 200 to the platform's question."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if await self.is_ready(node):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, node: Node) -> bool:
        """Return whether the node says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    node.address, node.ports["ready"]
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                return start.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(main: Callable[[], Awaitable[int]]) -> None:
    """Run a case and exit with its status, or with 2 if it could not run.

    A script that is stopped by SIGTERM ends its nodes as well.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
