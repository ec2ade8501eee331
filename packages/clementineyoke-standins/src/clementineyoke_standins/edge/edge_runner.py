"""A stand-in runner that answers as its script says, byte by byte."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Self

from clementineyoke_node.platform import names

if TYPE_CHECKING:
    from collections.abc import Callable

PROOF = "proof-of-the-runner"
EVENTS = 6
FOREVER_S = 3600.0
SLOW_S = 0.6
BEGIN_S = 0.03
"""Until a runner begins to work on a call that will end it."""
COLD_OVERRUN = 1.5
COLD_SLACK = 5
"""A cold runner ends at so much more than it bears, as the platform's rules say."""
LATE_S = 0.05
"""Until a late second answer comes: long after the first one was handed on."""


class Act(Enum):
    """How the runner answers one call."""

    OK = "ok"
    STREAM = "stream"
    FAIL = "fail"
    """Runs the call and answers with a failure of its own."""
    REFUSE = "refuse"
    """Says that it did not run the call."""
    BUSY = "busy"
    """Runs the call and says that it is busy, without a word on whether it ran."""
    HANG = "hang"
    SLOW = "slow"
    """Answers long after a runner that works as usual would have."""
    RESET = "reset"
    """Runs the call and loses the answer."""
    CUT = "cut"
    """Breaks a stream off in the middle of an event."""
    UNFRAMED = "unframed"
    """Answers without a length and ends with the connection, in order."""
    UNFRAMED_RESET = "unframed_reset"
    """Answers without a length and is reset half way."""
    CROSSED = "crossed"
    """Answers with another call's answer."""
    EXTRA = "extra"
    """Answers, and sends a second answer late."""
    NO_PROOF = "no_proof"


STATUSES = {
    Act.FAIL: "500 Failed",
    Act.REFUSE: "503 Busy",
    Act.BUSY: "503 Busy",
}


class SeenCall(NamedTuple):
    """A call as the runner saw it."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    at_s: float = 0.0
    """When it came; monotonic."""
    has_run: bool = True
    """Whether the runner began to work on it."""
    lifetime: int = 0
    """How often the runner had crashed before."""
    says_draining: bool = False
    """Whether the answer signalled that the runner drains."""
    retry_after_s: float = 0.0
    """Time that the refusal bore; 0 for none."""

    @property
    def call_id(self) -> str:
        """The id of the caller's try."""
        return self.fields.get(names.CALL_ID.lower(), "")


class EdgeRunner:
    """Own a listening socket; each call takes the script's next act."""

    def __init__(
        self, *, runner_id: str, zone: str = "zone", usual: Act = Act.OK
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.usual = usual
        self.script: list[Act] = []
        self.answers_by_path: dict[str, Act] = {}
        """What is usual for targets that begin so."""
        self.calls: list[SeenCall] = []
        self.event_pause_s = 0.0
        self.forgets_idle = False
        """Whether what comes on a connection that has rested is reset."""
        self.idle_kept_s: int | None = None
        """How long it says that it keeps idle connections; later calls are reset."""
        self.crashing_bodies: set[bytes] = set()
        """Calls with such a body end the runner as soon as it begins to run them."""
        self.cold_until_s = 0.0
        """Until when it is cold; monotonic."""
        self.cold_calls_per_s = 0.0
        """What it bears while it is cold; 0 for no limit."""
        self.overruns = 0
        """How often it ended for more calls than it bore."""
        self.is_draining = False
        """Whether all its answers signal that it drains."""
        self.is_shedding = False
        """Whether it refuses all calls, whatever its script says."""
        self.retry_after_s = 0.0
        """Time that its refusals bear; 0 for none."""
        self.ends_s: list[float] = []
        """When each of its lifetimes crashed; monotonic."""
        self.on_crash: Callable[[EdgeRunner], None] = lambda _: None
        """Called when the runner has ended; whoever owns it may start it again."""
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Listen on a free port, which the runner keeps over its lifetimes."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def start(self) -> None:
        """Listen, for the first time or after a crash."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def crashes(self) -> int:
        """How often it has crashed."""
        return len(self.ends_s)

    def crash(self) -> None:
        """End at once: every connection breaks, and no new one is taken."""
        if self._server is None:
            return
        self.ends_s.append(time.monotonic())
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            if not writer.is_closing():
                _reset(writer)
        self.on_crash(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            first = b""
            while await self._serve_one(reader, writer, first):
                idle_since_s = time.monotonic()
                first = await reader.readexactly(1)
                if self._has_forgotten(time.monotonic() - idle_since_s):
                    _reset(writer)
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return  # the node closed the connection, which tests bring about
        except asyncio.CancelledError:
            return  # the scenario is over
        finally:
            self._writers.discard(writer)
            writer.close()

    def _has_forgotten(self, idle_s: float) -> bool:
        """Whether a connection that has rested so long is dropped without a word."""
        is_over = self.idle_kept_s is not None and idle_s > self.idle_kept_s
        return self.forgets_idle or is_over

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bytes,
    ) -> bool:
        call = await _read_call(reader, first)
        act = self._next_act(call.target)
        is_refused = act is Act.REFUSE
        seen = call._replace(
            at_s=time.monotonic(),
            has_run=not is_refused,
            lifetime=self.crashes,
            says_draining=self.is_draining,
            retry_after_s=self.retry_after_s if is_refused else 0.0,
        )
        self.calls.append(seen)
        if self._is_overrun(seen.at_s):
            self.crash()
            return False
        if call.body in self.crashing_bodies:
            await asyncio.sleep(BEGIN_S)
            self.crash()
            return False
        call_id = call.call_id
        if act in (Act.STREAM, Act.CUT):
            return await self._stream(writer, call, call_id, is_cut=act is Act.CUT)
        return await self._answer(writer, act, call_id)

    def _is_overrun(self, now_s: float) -> bool:
        """Whether a cold runner has got more calls in a second than it bears."""
        if now_s >= self.cold_until_s or not self.cold_calls_per_s:
            return False
        most = COLD_OVERRUN * self.cold_calls_per_s + COLD_SLACK
        lately = sum(call.at_s > now_s - 1.0 for call in self.calls)
        if lately <= most:
            return False
        self.overruns += 1
        return True

    def _signals(self) -> dict[str, str]:
        """Return the headers by which every answer tells of the runner itself."""
        fields = {names.DRAINING: names.DRAINING_VALUE} if self.is_draining else {}
        if self.idle_kept_s is not None:
            fields["Keep-Alive"] = f"timeout={self.idle_kept_s}"
        return fields

    def _next_act(self, target: str) -> Act:
        if self.is_shedding:
            return Act.REFUSE
        return self.script.pop(0) if self.script else self._usual(target)

    def _usual(self, target: str) -> Act:
        for prefix, act in self.answers_by_path.items():
            if target.startswith(prefix):
                return act
        return self.usual

    async def _answer(
        self, writer: asyncio.StreamWriter, act: Act, call_id: str
    ) -> bool:
        if act is Act.HANG:
            await asyncio.sleep(FOREVER_S)
        if act is Act.SLOW:
            await asyncio.sleep(SLOW_S)
        if act is Act.RESET:
            _reset(writer)
            return False
        body = f"answer to {call_id}".encode()
        if act is Act.CROSSED:
            call_id = "another-call"
        status = STATUSES.get(act, "200 OK")
        fields = {names.CALL_ID: call_id, **self._signals()}
        if act is Act.REFUSE:
            fields[names.NOT_EXECUTED] = "1"
            if self.retry_after_s:
                fields[names.RETRY_AFTER] = f"{self.retry_after_s:g}"
        elif act is not Act.NO_PROOF:
            fields[names.SERVER_SIGNATURE] = PROOF
        if act in (Act.UNFRAMED, Act.UNFRAMED_RESET):
            return await self._answer_unframed(writer, act, fields, body)
        whole = _head(status, {**fields, "Content-Length": str(len(body))}) + body
        writer.write(whole)
        await writer.drain()
        if act is Act.EXTRA:
            await asyncio.sleep(LATE_S)
            writer.write(whole)
        return True

    async def _answer_unframed(
        self,
        writer: asyncio.StreamWriter,
        act: Act,
        fields: dict[str, str],
        body: bytes,
    ) -> bool:
        if act is Act.UNFRAMED:
            writer.write(_head("200 OK", fields) + body)
            await writer.drain()
            return False
        writer.write(_head("200 OK", fields) + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(LATE_S)
        _reset(writer)
        return False

    async def _stream(
        self,
        writer: asyncio.StreamWriter,
        call: SeenCall,
        call_id: str,
        *,
        is_cut: bool,
    ) -> bool:
        fields = {
            names.CALL_ID: call_id,
            names.SERVER_SIGNATURE: PROOF,
            **self._signals(),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(_head("200 OK", fields))
        first = int(call.fields.get(names.LAST_EVENT.lower(), "0")) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if is_cut and number == EVENTS // 2:
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                await asyncio.sleep(LATE_S)
                _reset(writer)
                return False
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(_chunk(b""))
        await writer.drain()
        return True


async def _read_call(reader: asyncio.StreamReader, first: bytes) -> SeenCall:
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
    request_line, *lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return SeenCall(method, target, fields, body)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection; an ordinary close would end it in order."""
    held = writer.get_extra_info("socket")
    held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _head(status: str, fields: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {fields[name]}" for name in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body)
