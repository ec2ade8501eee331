from __future__ import annotations

import asyncio
import math
import socket
import time
from functools import partial

import aiohttp
from behave import given, then, when
from edge_fleet import CALL_ID_HEADER, HOSTNAME, KEY, EdgeFleet

from clementineyoke_node.edge.runner_connection_pool import ConnectionTrace
from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.edge.raw_answers import encode_event, encode_raw_head

MB = 1_000_000
FOREVER_S = 3600.0
LONG_DEADLINE = {"X-Deadline-Ms": "10000"}
READ_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 32_768


def encode_request(call_id, *, method="GET", kind="idempotent", fields="", body=b""):
    head = (
        f"{method} /{kind}/x HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        f"{CALL_ID_HEADER}: {call_id}\r\nAuthorization: Token {KEY}\r\n"
        f"X-Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    )
    return head.encode() + body


async def connect(fleet):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.2", fleet.ports[0]))
    return await asyncio.open_connection(sock=sock, limit=READ_BYTES)


@given("a node that may take {grace_s:d} s to leave, and a runner with answers of 8 MB")
def given_long_answers(context, grace_s):
    fleet = EdgeFleet(nodes=1, runners=1, settings={"stop_deadline_s": grace_s})
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    fleet.runners[0].padding_bytes = 8 * MB


@when("the node leaves while {count:d} callers read their answers over {read_s:g} s")
def leave_amid_reads(context, count, read_s):
    async def read_slowly(number):
        reader, writer = await connect(context.fleet)
        writer.write(encode_request(f"slow-{number}"))
        received = len(await reader.read(READ_BYTES))
        pause_s = read_s * READ_BYTES / (8 * MB)
        try:
            while chunk := await reader.read(READ_BYTES):
                received += len(chunk)
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass  # the node has ended
        writer.close()
        return received

    async def act():
        node = context.fleet.nodes[0]
        reads = [asyncio.ensure_future(read_slowly(n)) for n in range(count)]
        while len(context.fleet.calls()) < count:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        transports = [c.transport for c in node._callers.server.connections]
        started_s = time.monotonic()
        node.request_stop()
        await context.fleet.stop_tasks[0]
        context.left_s = time.monotonic() - started_s
        for transport in transports:
            transport.abort()  # The end of the process discards what it has not sent.
        return await asyncio.gather(*reads)

    context.received = context.run(act())


@then("each of them has its whole answer")
def check_whole_answers(context):
    assert all(received >= 8 * MB for received in context.received), context.received


@then("the node has left within {limit_s:d} s")
def check_left(context, limit_s):
    assert context.left_s < limit_s, context.left_s


@when("the node begins to leave amid a stream, whose caller sends a request at its end")
def send_after_stream(context):
    async def act():
        node = context.fleet.nodes[0]
        reader, writer = await connect(context.fleet)
        writer.write(encode_request("stream", method="POST", kind="streaming"))
        while not context.fleet.calls():
            await asyncio.sleep(0.01)
        node.io.begin_leaving()
        context.stream = await reader.readuntil(b"\r\n0\r\n\r\n")
        writer.write(encode_request("next", method="POST", kind="streaming"))
        try:
            context.rest = await reader.read()
        except ConnectionError:
            context.rest = b""
        writer.close()

    context.run(act())


@then("the stream is whole, its connection ends, and the runners received 1 call")
def check_connection_ended(context):
    assert encode_event(EVENTS) in context.stream, context.stream
    assert not context.rest, context.rest
    assert [call.call_id for call in context.fleet.calls()] == ["stream"]


@when("a request is read in the moment at which the node begins to drain")
def read_at_drain(context):
    async def act():
        node = context.fleet.nodes[0]
        reader, writer = await connect(context.fleet)
        while not node._callers.server.connections:
            await asyncio.sleep(0.01)
        (connection,) = node._callers.server.connections
        node.io.begin_leaving()
        connection.data_received(encode_request("late"))
        await node._drain_calls(node.io.timers.now_ms())
        answer = await reader.read()
        writer.close()
        return answer

    context.raw = context.run(act())


@then("its caller gets a whole answer, and the runners received {count:d} call")
def check_answered(context, count):
    assert context.raw.endswith(b"answer to late"), context.raw
    assert len(context.fleet.calls()) == count


STREAM = {"Content_Type": "text/event-stream"}
CHUNKED = {"Transfer_Encoding": "chunked"}
EVENTS_SENT = encode_event(1) + encode_event(2)
HALF = b"half"
PARTS = {
    "a head": (STREAM | CHUNKED, b""),
    "a head without framing": (STREAM, b""),
    "events": (STREAM | CHUNKED, EVENTS_SENT),
    "events without framing": (STREAM, EVENTS_SENT),
    "part of an event": (STREAM | CHUNKED, EVENTS_SENT[:-1]),
    "half of a document": ({"Content_Length": "8"}, HALF),
    "half of a document in chunks": (CHUNKED, HALF),
    "half of a document, not framed": ({}, HALF),
    "half of a long document": ({"Content_Length": "2000000"}, b"x" * MB),
}


async def send_part(call, part):
    """Send a part of an answer, and nothing more for as long as the node waits."""
    if part in PARTS:
        fields, body = PARTS[part]
        yield encode_raw_head(call, **fields)
        if body and "Transfer_Encoding" in fields:
            body = b"%x\r\n%s\r\n" % (len(body), body)
        yield body
    await asyncio.sleep(FOREVER_S)


@given('a node that has 1 s to leave, and runners that send "{part}" and then nothing')
def given_part(context, part):
    start_fleet(context, part, nodes=1)


@given(
    '{nodes:d} nodes that have 1 s to leave, and runners that send "{part}" and then'
    " nothing"
)
def given_part_and_nodes(context, nodes, part):
    start_fleet(context, part, nodes=nodes)


def start_fleet(context, part, *, nodes):
    fleet = EdgeFleet(nodes=nodes, runners=2, settings={"stop_deadline_s": 1})
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    for runner in fleet.runners:
        runner.raw_answer = partial(send_part, part=part)


@given("node {number:d} reaches no runner")
def isolate(context, number):
    context.fleet.nodes[number].io.reach_monitor.is_isolated = lambda pool: True


@when('the node leaves amid a "{kind}" call')
def leave_amid_call(context, kind):
    leave_amid(context, kind, number=0)


@when('node {number:d} leaves amid a "{kind}" call')
def leave_with_peer(context, number, kind):
    leave_amid(context, kind, number=number)


def leave_amid(context, kind, *, number):
    async def act():
        fleet = context.fleet
        call = asyncio.ensure_future(fleet.call(kind, headers=LONG_DEADLINE))
        while not fleet.calls():
            await asyncio.sleep(0.01)
        node = fleet.nodes.pop(number)
        node.request_stop()
        await fleet.stop_tasks[number]
        await node.__aexit__(None, None, None)
        context.metrics = node.state.metrics
        (context.answer,) = await asyncio.gather(call, return_exceptions=True)

    context.run(act())


@then("the caller has no complete answer")
def check_no_answer(context):
    is_broken = context.answer is None or isinstance(
        context.answer, aiohttp.ClientError
    )
    assert is_broken, context.answer


@then("no call has ended with an unexpected exception")
def check_no_exception(context):
    errors = context.metrics.unexpected_errors.get_all()
    assert not errors, errors


@when("the connections to runners are closed before the response is read")
def close_before_read(context):
    async def act():
        io = context.fleet.nodes[0].io
        session = io.connection_pool._keepalive_session
        trace = ConnectionTrace(timers=io.timers, send_before_ms=math.inf)
        port = context.fleet.runners[0].port
        context.answer = None
        async with session.get(
            f"http://127.0.0.1:{port}/", trace_request_ctx=trace
        ) as response:
            await session.close()
            await asyncio.sleep(0)
            try:
                while await response.content.readany():
                    pass
            except Exception as error:
                context.answer = error

    context.run(act())


@then("the reader gets an error of the connection")
def check_reader_error(context):
    assert isinstance(context.answer, aiohttp.ClientError), repr(context.answer)
