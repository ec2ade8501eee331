"""A fake runner that sends scripted responses, including malformed ones."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, Self

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.source_filter import (
    LINK_POLL_S,
    LinkCut,
    LinkCuts,
    reset_connection,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Collection

    RawAnswer = Callable[["ReceivedCall"], AsyncIterator[bytes] | None]

PROOF = "proof-of-the-runner"
EVENTS = 6
EVENTS_BEFORE_BREAK = 2
"""Complete events of a stream before it is cut."""
PADDING = "."
LONG_PADDING_BYTES = 2_000_000
HANG_S = 3600.0
SLOW_RESPONSE_DELAY_S = 0.6
CRASH_DELAY_S = 0.03
"""Time from the receipt of a crashing request until the runner crashes."""
COLD_OVERLOAD_FACTOR = 1.5
COLD_OVERLOAD_MARGIN = 5
"""A cold runner crashes if its calls within 1 s exceed its limit times the factor plus
the margin, as the platform specifies."""
LATE_RESPONSE_DELAY_S = 0.05
"""Delay of a late second response, long enough for the first to be relayed."""


class CrashManner(Enum):
    """How the connections of a runner end when it crashes."""

    RESET = "reset"
    CLOSE = "close"
    """They are closed in order, like that of a complete response without a length."""


class ScriptedResponse(Enum):
    """How the runner responds to one call."""

    OK = "ok"
    STREAM = "stream"
    FAIL = "fail"
    """Executes the call and answers with status 500."""
    REFUSE = "refuse"
    """Refuses the call with status 503 and declares it not executed."""
    BUSY = "busy"
    """Executes the call and answers with status 503, not declaring whether it ran."""
    FAIL_AS_STREAM = "fail as stream"
    """Like ``FAIL``, with the content type of a stream."""
    BUSY_AS_STREAM = "busy as stream"
    """Like ``BUSY``, with the content type of a stream."""
    HANG = "hang"
    """Never responds."""
    SLOW = "slow"
    """Responds much later than a healthy runner."""
    RESET = "reset"
    """Executes the call and resets the connection without a response."""
    CUT = "cut"
    """Resets the connection in the middle of an event of a stream."""
    UNFRAMED = "unframed"
    """Sends a body without a length that ends with an orderly close."""
    UNFRAMED_RESET = "unframed_reset"
    """Sends half of a body without a length, then resets the connection."""
    CROSSED = "crossed"
    """Sends a response with the ID of another call."""
    EXTRA = "extra"
    """Sends the response twice, the second time late."""
    NO_PROOF = "no_proof"
    """Sends a response without the runner's signature."""


STATUS_LINES = {
    ScriptedResponse.FAIL: "500 Failed",
    ScriptedResponse.REFUSE: "503 Busy",
    ScriptedResponse.BUSY: "503 Busy",
    ScriptedResponse.FAIL_AS_STREAM: "500 Failed",
    ScriptedResponse.BUSY_AS_STREAM: "503 Busy",
}
FAILURES_AS_STREAM = frozenset(
    (ScriptedResponse.FAIL_AS_STREAM, ScriptedResponse.BUSY_AS_STREAM)
)


class ReceivedCall(NamedTuple):
    """A call as the runner received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_s: float = 0.0
    """Monotonic time of receipt."""
    was_executed: bool = True
    """Whether the runner started to execute the call."""
    lifetime: int = 0
    """Number of the runner's crashes before the call."""
    signals_draining: bool = False
    """Whether the response signalled that the runner is draining."""
    retry_after_s: float = 0.0
    """``Retry-After`` of the refusal; 0 if there was none."""

    sender_port: int = 0
    """Port from which the call was sent."""
    runner_id: str = ""
    """ID that the runner had then."""

    @property
    def call_id(self) -> str:
        """The ID of the caller's attempt."""
        return self.headers.get(names.CALL_ID.lower(), "")


class RawSend(NamedTuple):
    """How many bytes of a raw answer a connection took, and when it ended."""

    sent_bytes: int
    ended_s: float
    """Monotonic time."""


class EdgeRunner:
    """Listen on a socket and respond to each call with the next item of the script."""

    def __init__(
        self,
        *,
        runner_id: str,
        zone: str = "zone",
        version: str = "v1",
        fallback_response: ScriptedResponse = ScriptedResponse.OK,
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.version = version
        """Software version, as the runner's entry names it."""
        self.tells_version = False
        """Whether each event of a stream tells the version."""
        self.break_every = 0
        """Every how many streams one is cut after its first events; 0 for none."""
        self.break_prefix = ""
        """Prefix of the request targets whose streams are cut like that."""
        self._streams = 0
        self.fallback_response = fallback_response
        self.script: list[ScriptedResponse] = []
        self.responses_by_prefix: dict[str, ScriptedResponse] = {}
        """Default responses by prefix of the request target."""
        self.calls: list[ReceivedCall] = []
        self.misdirected_calls: list[ReceivedCall] = []
        """Calls for another runner, which were refused with 421."""
        self.event_count = EVENTS
        """Events of a whole stream."""
        self.stream_delay_s = 0.0
        """Time from a call to the head of its stream."""
        self.event_pause_s = 0.0
        self.padding_bytes = 0
        """Bytes that are added to each complete answer."""
        self.padded_target = ""
        """Request target whose answers are padded in any case."""
        self.slow_delay_s = SLOW_RESPONSE_DELAY_S
        self.resets_idle_connections = False
        """Whether a connection is reset when it is reused after being idle."""
        self.keep_alive_timeout_s: int | None = None
        """Announced idle timeout; a connection that is reused after it is reset."""
        self.crashing_bodies: set[bytes] = set()
        """Bodies of calls that crash the runner when it starts to execute them."""
        self.crashing_parts: set[str] = set()
        """Parts of a prompt, other than the last, that crash the runner when it starts
        to answer."""
        self.crash_manner = CrashManner.RESET
        self.frames_streams = True
        """Whether streams come in chunks; otherwise they end with their connection."""
        self.cold_until_s = 0.0
        """Monotonic time until which the runner is cold."""
        self.cold_calls_per_s = 0.0
        """Limit on its call rate while it is cold; 0 for no limit."""
        self.overload_crashes = 0
        """Number of crashes by more calls than the limit of a cold runner."""
        self.is_draining = False
        """Whether all responses signal that the runner is draining."""
        self.is_shedding = False
        """Whether the runner refuses all calls regardless of its script."""
        self.server_load = ""
        """Load header of all responses; empty for none."""
        self.retry_after_s = 0.0
        """``Retry-After`` of refusals; 0 for none."""
        self.crash_times_s: list[float] = []
        """Monotonic crash time of each lifetime."""
        self.on_crash: Callable[[EdgeRunner], None] = lambda _: None
        """Called after a crash; may restart the runner."""
        self.port = 0
        self.max_running: int | None = None
        """Calls that the runner executes at once; it rejects all others. None for any
        number."""
        self.brittle_header = ""
        """Brittleness header of all responses; empty for none."""
        self.max_rejections_per_s: int | None = None
        """Rejections in a second above which the runner crashes; None for any number.
        """
        self.rejection_times_s: list[float] = []
        self.rejection_crashes = 0
        """Number of crashes by too many rejections."""
        self.most_running = 0
        """Most calls that the runner executed at once."""
        self._running = 0
        self._link_cuts = LinkCuts()
        self.raw_answer: (
            Callable[[ReceivedCall], AsyncIterator[bytes] | None] | None
        ) = None
        """Returns the bytes to send in place of the scripted response, or None."""
        self.raw_sends: list[RawSend] = []
        self.open_raw_answers = 0
        self.worked_until_s: dict[str, float] = {}
        """Monotonic time at which the work on each call ended, by the call's ID."""
        self._is_awake = asyncio.Event()
        self._is_awake.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._idle_writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Listen on a free port, which the runner keeps across crashes."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def start(self) -> None:
        """Start to listen, at first or after a crash."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        if self._link_cuts.sources:
            self._link_cuts.filter_listener(self._server)

    def cut_links(self, addresses: Collection[str], how: LinkCut) -> None:
        """Cut the links to the callers at some addresses, or end an earlier cut."""
        self._link_cuts.begin(self._server, self._writers, addresses, how)

    def heal_links(self) -> None:
        """End a cut of the links to callers."""
        self.cut_links((), LinkCut.SILENT)

    def fall_silent(self) -> None:
        """Stop all work until ``go_on``, like a process that gets no processor time.

        Connections stay open, and new ones are accepted.
        """
        self._is_awake.clear()

    def go_on(self) -> None:
        """End a silence."""
        self._is_awake.set()

    @property
    def crashes(self) -> int:
        """Number of crashes so far."""
        return len(self.crash_times_s)

    def crash(self) -> None:
        """Stop listening and end all connections."""
        if self._server is None:
            return
        self.crash_times_s.append(time.monotonic())
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            if writer.is_closing():
                continue
            if self.crash_manner is CrashManner.CLOSE:
                writer.close()
            else:
                reset_connection(writer)
        self.on_crash(self)

    def close_idle(self, *, keep: int = 0) -> int:
        """Close idle connections in order but for some; return how many are closed."""
        closed = list(self._idle_writers)[keep:]
        for writer in closed:
            writer.close()
        return len(closed)

    def forget_connections(self) -> None:
        """Leave the present connections open in a crash, as if their ends were lost."""
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            first_byte = b""
            while await self._serve_one(reader, writer, first_byte):
                idle_since_s = time.monotonic()
                self._idle_writers.add(writer)
                first_byte = await reader.readexactly(1)
                self._idle_writers.discard(writer)
                if self._resets_idle(time.monotonic() - idle_since_s):
                    reset_connection(writer)
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return  # the node closed the connection, as some tests intend
        except asyncio.CancelledError:
            return  # the scenario has ended
        finally:
            self._writers.discard(writer)
            self._idle_writers.discard(writer)
            writer.close()

    def _resets_idle(self, idle_s: float) -> bool:
        """Return whether a connection is reset after it was idle for so long."""
        is_expired = (
            self.keep_alive_timeout_s is not None and idle_s > self.keep_alive_timeout_s
        )
        return self.resets_idle_connections or is_expired

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first_byte: bytes,
    ) -> bool:
        call = await _read_call(reader, first_byte)
        await self._wait_awake(reader, call)
        if self._is_misdirected(call):
            return await self._refuse_misdirected(writer, call)
        has_room = self.max_running is None or self._running < self.max_running
        response = (
            self._next_response(call.target) if has_room else ScriptedResponse.REFUSE
        )
        is_refused = response is ScriptedResponse.REFUSE
        seen = call._replace(
            received_s=time.monotonic(),
            was_executed=not is_refused,
            lifetime=self.crashes,
            signals_draining=self.is_draining,
            retry_after_s=self.retry_after_s if is_refused else 0.0,
            sender_port=(writer.get_extra_info("peername") or ("", 0))[1],
            runner_id=self.runner_id,
        )
        self.calls.append(seen)
        if self._exceeds_cold_limit(seen.received_s):
            self.crash()
            return False
        if call.body in self.crashing_bodies:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
            return False
        if not is_refused and self.crashing_parts & shared_parts(call):
            await self._begin_response(writer, call)
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
            return False
        if not has_room and self._exceeds_rejections(seen.received_s):
            self.crash()
            return False
        self._running += not is_refused
        self.most_running = max(self.most_running, self._running)
        try:
            return await self._respond(reader, writer, call, response)
        finally:
            self._running -= not is_refused
            self.worked_until_s.setdefault(call.call_id, time.monotonic())

    def _is_misdirected(self, call: ReceivedCall) -> bool:
        """Return whether a call names another runner as the one that is to run it."""
        expected_id = call.headers.get(names.EXPECTED_RUNNER.lower(), self.runner_id)
        return expected_id != self.runner_id

    async def _refuse_misdirected(
        self, writer: asyncio.StreamWriter, call: ReceivedCall
    ) -> bool:
        refused = call._replace(received_s=time.monotonic(), was_executed=False)
        self.misdirected_calls.append(refused)
        await self._link_cuts.wait(writer)
        fields = {
            names.CALL_ID: call.call_id,
            names.NOT_EXECUTED: "1",
            **self._signal_headers(),
            "Content-Length": "0",
        }
        writer.write(_encode_head("421 Misdirected Request", fields))
        await writer.drain()
        return True

    async def _wait_awake(
        self, reader: asyncio.StreamReader, call: ReceivedCall
    ) -> None:
        """Wait for the end of a silence, and note if the caller leaves before it."""
        while not self._is_awake.is_set():
            if reader.at_eof():
                self.worked_until_s.setdefault(call.call_id, time.monotonic())
            await asyncio.sleep(LINK_POLL_S)

    async def _respond(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        call: ReceivedCall,
        response: ScriptedResponse,
    ) -> bool:
        call_id = call.call_id
        raw_answer = None if self.raw_answer is None else self.raw_answer(call)
        if raw_answer is not None:
            return await self._send_raw(writer, raw_answer)
        if response in (ScriptedResponse.STREAM, ScriptedResponse.CUT):
            first_event = int(call.headers.get(names.LAST_EVENT.lower(), "0")) + 1
            cut_event = None
            if response is ScriptedResponse.CUT:
                cut_event = EVENTS // 2
            elif self._breaks_stream(call):
                cut_event = first_event + EVENTS_BEFORE_BREAK
            return await self._send_stream(
                reader, writer, call, first_event=first_event, cut_event=cut_event
            )
        is_padded = call.target == self.padded_target
        return await self._send_response(
            writer,
            response,
            call_id,
            padding_bytes=LONG_PADDING_BYTES if is_padded else self.padding_bytes,
        )

    async def _send_raw(
        self, writer: asyncio.StreamWriter, parts: AsyncIterator[bytes]
    ) -> bool:
        """Send bytes for as long as the node takes them; keep the connection after."""
        sent_bytes = 0
        self.open_raw_answers += 1
        try:
            async for part in parts:
                writer.write(part)
                await writer.drain()
                sent_bytes += len(part)
        finally:
            self.open_raw_answers -= 1
            self.raw_sends.append(RawSend(sent_bytes, time.monotonic()))
        return True

    def _breaks_stream(self, call: ReceivedCall) -> bool:
        """Return whether it is the turn of a call's stream to be cut."""
        if not self.break_every or not call.target.startswith(self.break_prefix):
            return False
        self._streams += 1
        return not self._streams % self.break_every

    def _exceeds_rejections(self, now_s: float) -> bool:
        """Record a rejection; return whether recent ones crash a brittle runner."""
        self.rejection_times_s.append(now_s)
        if self.max_rejections_per_s is None:
            return False
        recent = sum(time_s > now_s - 1.0 for time_s in self.rejection_times_s)
        if recent <= self.max_rejections_per_s:
            return False
        self.rejection_crashes += 1
        return True

    def _exceeds_cold_limit(self, now_s: float) -> bool:
        """Return whether recent calls crash a cold runner, and count these crashes."""
        if now_s >= self.cold_until_s or not self.cold_calls_per_s:
            return False
        max_calls = COLD_OVERLOAD_FACTOR * self.cold_calls_per_s + COLD_OVERLOAD_MARGIN
        recent_calls = sum(call.received_s > now_s - 1.0 for call in self.calls)
        if recent_calls <= max_calls:
            return False
        self.overload_crashes += 1
        return True

    def _signal_headers(self) -> dict[str, str]:
        """Return the headers with the runner's own signals, part of every response."""
        fields = {names.DRAINING: names.DRAINING_VALUE} if self.is_draining else {}
        if self.server_load:
            fields[names.SERVER_LOAD] = self.server_load
        if self.brittle_header:
            fields[names.BRITTLE] = self.brittle_header
        if self.keep_alive_timeout_s is not None:
            fields["Keep-Alive"] = f"timeout={self.keep_alive_timeout_s}"
        return fields

    def _next_response(self, target: str) -> ScriptedResponse:
        if self.is_shedding:
            return ScriptedResponse.REFUSE
        return self.script.pop(0) if self.script else self._usual_response(target)

    def _usual_response(self, target: str) -> ScriptedResponse:
        for prefix, response in self.responses_by_prefix.items():
            if target.startswith(prefix):
                return response
        return self.fallback_response

    async def _send_response(
        self,
        writer: asyncio.StreamWriter,
        response: ScriptedResponse,
        call_id: str,
        *,
        padding_bytes: int,
    ) -> bool:
        if response is ScriptedResponse.HANG:
            await asyncio.sleep(HANG_S)
        if response is ScriptedResponse.SLOW:
            await asyncio.sleep(self.slow_delay_s)
        if response is ScriptedResponse.RESET:
            reset_connection(writer)
            return False
        body = f"answer to {call_id}{PADDING * padding_bytes}".encode()
        if response is ScriptedResponse.CROSSED:
            call_id = "another-call"
        status = STATUS_LINES.get(response, "200 OK")
        fields = {names.CALL_ID: call_id, **self._signal_headers()}
        if response in FAILURES_AS_STREAM:
            fields["Content-Type"] = "text/event-stream"
            body = b"data: %s\n\n" % body
        if response is ScriptedResponse.REFUSE:
            fields[names.NOT_EXECUTED] = "1"
            if self.retry_after_s:
                fields[names.RETRY_AFTER] = f"{self.retry_after_s:g}"
        elif response is not ScriptedResponse.NO_PROOF:
            fields[names.SERVER_SIGNATURE] = PROOF
        if response in (ScriptedResponse.UNFRAMED, ScriptedResponse.UNFRAMED_RESET):
            return await self._send_unframed(writer, response, fields, body)
        await self._is_awake.wait()
        await self._link_cuts.wait(writer)
        message = (
            _encode_head(status, {**fields, "Content-Length": str(len(body))}) + body
        )
        writer.write(message)
        await writer.drain()
        if response is ScriptedResponse.EXTRA:
            await asyncio.sleep(LATE_RESPONSE_DELAY_S)
            writer.write(message)
        return True

    async def _send_unframed(
        self,
        writer: asyncio.StreamWriter,
        response: ScriptedResponse,
        fields: dict[str, str],
        body: bytes,
    ) -> bool:
        if response is ScriptedResponse.UNFRAMED:
            writer.write(_encode_head("200 OK", fields) + body)
            await writer.drain()
            return False
        writer.write(_encode_head("200 OK", fields) + body[: len(body) // 2])
        await writer.drain()
        await asyncio.sleep(LATE_RESPONSE_DELAY_S)
        reset_connection(writer)
        return False

    def _make_event(self, number: int) -> bytes:
        version = f": version {self.version}\n" if self.tells_version else ""
        return f"id: {number}\ndata: piece {number}\n{version}\n".encode()

    async def _send_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        call: ReceivedCall,
        *,
        first_event: int,
        cut_event: int | None,
    ) -> bool:
        """Send a stream, which is cut within ``cut_event`` if that is not None."""
        await asyncio.sleep(self.stream_delay_s)
        writer.write(self._stream_head(call.call_id))
        for number in range(first_event, self.event_count + 1):
            event = self._make_event(number)
            if number == cut_event:
                writer.write(self._frame(event[: len(event) // 2]))
                await writer.drain()
                await asyncio.sleep(LATE_RESPONSE_DELAY_S)
                reset_connection(writer)
                return False
            await self._wait_awake(reader, call)
            await self._link_cuts.wait(writer)
            writer.write(self._frame(event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        if not self.frames_streams:
            return False
        writer.write(_encode_chunk(b""))
        await writer.drain()
        return True

    async def _begin_response(
        self, writer: asyncio.StreamWriter, call: ReceivedCall
    ) -> None:
        """Send the head of a stream and its first event."""
        writer.write(self._stream_head(call.call_id) + self._frame(self._make_event(1)))
        await writer.drain()

    def _stream_head(self, call_id: str) -> bytes:
        fields = {
            names.CALL_ID: call_id,
            names.SERVER_SIGNATURE: PROOF,
            **self._signal_headers(),
            "Content-Type": "text/event-stream",
        }
        if self.frames_streams:
            fields["Transfer-Encoding"] = "chunked"
        return _encode_head("200 OK", fields)

    def _frame(self, body: bytes) -> bytes:
        return _encode_chunk(body) if self.frames_streams else body


def shared_parts(call: ReceivedCall) -> set[str]:
    """Return the ids of all parts of a call's prompt but the last."""
    entries = call.headers.get(names.PROMPT_PARTS.lower(), "").split(",")
    return {entry.partition(":")[0].strip() for entry in entries[:-1]}


async def _read_call(reader: asyncio.StreamReader, first_byte: bytes) -> ReceivedCall:
    head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode()
    request_line, *lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return ReceivedCall(method, target, fields, body)


def _encode_head(status: str, fields: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {fields[name]}" for name in fields)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _encode_chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body)
