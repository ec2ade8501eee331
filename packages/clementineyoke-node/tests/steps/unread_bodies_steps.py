from __future__ import annotations

import asyncio
import socket

from behave import given, then, when
from edge_fleet import HOSTNAME, EdgeFleet, make_route

from clementineyoke_node.platform import names
from clementineyoke_node.runners.send_monitor import SendState, user_timeout_ms
from clementineyoke_standins.edge.raw_answers import (
    EVENT_STREAM,
    SIGNATURE,
    encode_event,
)
from clementineyoke_standins.edge.written_specs import runner_spec

WINDOW_BYTES = 8_192
EVENTS = 10
DEADLINE_MS = "9000"
ANSWER = b"whole"


class LateReader:
    """A runner with a small window that reads bodies some time after their heads."""

    def __init__(self, *, unread_s, answers_first):
        self.unread_s = unread_s
        self.answers_first = answers_first
        self.bodies = []

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.port = listener.getsockname()[1]
        return await asyncio.start_server(
            self.serve, sock=listener, limit=WINDOW_BYTES // 2
        )

    async def serve(self, reader, writer):
        try:
            while head := (await reader.readuntil(b"\r\n\r\n")).decode():
                await self.answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def answer(self, head, reader, writer):
        lines = [line.partition(": ") for line in head.split("\r\n")]
        fields = {name.lower(): value for name, _, value in lines}
        length = int(fields["content-length"])
        is_stream = "streaming" in lines[0][0]
        body = encode_event(1) if is_stream else b""
        framing = f"Content-Type: {EVENT_STREAM}\r\nTransfer-Encoding: chunked"
        if not is_stream:
            framing = f"Content-Length: {len(ANSWER)}"
        begin = (
            f"HTTP/1.1 200 OK\r\n{names.CALL_ID}: {fields[names.CALL_ID.lower()]}\r\n"
            f"{names.SERVER_SIGNATURE}: {SIGNATURE}\r\n{framing}\r\n\r\n"
        ).encode()
        if self.answers_first:
            writer.write(begin + (chunk(body) if body else b""))
        for number in range(2, EVENTS + 1):
            await asyncio.sleep(self.unread_s / EVENTS)
            if is_stream:
                writer.write(chunk(encode_event(number)))
        self.bodies.append(len(await reader.readexactly(length)))
        if not self.answers_first:
            writer.write(begin)
        writer.write(b"0\r\n\r\n" if is_stream else ANSWER)


def chunk(body):
    return b"%x\r\n%s\r\n" % (len(body), body)


@given(
    "a node with runners that leave a body unread for {unread_s:g} s, with the head of"
    " the answer {head}"
)
def given_runners(context, unread_s, head):
    fleet = EdgeFleet(runners=0)
    answers_first = head == "sent before"
    context.late = [
        LateReader(unread_s=unread_s, answers_first=answers_first) for _ in range(2)
    ]

    async def act():
        await fleet.__aenter__()
        slow = {"timeoutMs": 9_000, "targetLatencyMs": 9_000}
        await fleet.put_state(
            make_route("non_idempotent", runners=1, **slow),
            make_route("streaming", resumable=True, **slow),
        )
        for number, runner in enumerate(context.late):
            server = await runner.start()
            context.add_cleanup(server.close)
            spec = runner_spec(
                pool="pool",
                address=f"127.0.0.1:{runner.port}",
                zone="zone",
                state="ready",
            )
            await fleet.store.put("servers", f"late-{number}", spec)
        table = fleet.nodes[0].state.table
        while len(list(table.entries())) < len(context.late):
            await asyncio.sleep(0.01)

    context.run(act())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))


@when("a body of {size:d} bytes is sent to a {kind} route")
def send_body(context, size, kind):
    context.size, context.kind = size, kind
    context.answer = context.run(
        context.fleet.call(
            kind,
            headers={"X-Deadline-Ms": DEADLINE_MS, "Host": HOSTNAME},
            data=b"x" * size,
        )
    )


@then("the answer is whole, and one runner has read the whole body")
def check_whole(context):
    status, _, body = context.answer
    whole = "".join(encode_event(n).decode() for n in range(1, EVENTS + 1))
    expected = whole if context.kind == "streaming" else ANSWER.decode()
    assert (status, body) == (200, expected), (status, body)
    bodies = [size for runner in context.late for size in runner.bodies]
    assert bodies == [context.size], bodies


@given(
    "a connection with {pending:d} pending bytes, {retransmissions:d} retransmissions,"
    " {probes:d} unanswered probes and a peer silent for {silence_ms:d} ms"
)
def given_state(context, pending, retransmissions, probes, silence_ms):
    context.state = SendState(pending, retransmissions, probes, silence_ms)


@then("its user timeout is {timeout_ms:d} ms")
def check_timeout(context, timeout_ms):
    found_ms = user_timeout_ms(context.state)
    assert found_ms == timeout_ms, found_ms
