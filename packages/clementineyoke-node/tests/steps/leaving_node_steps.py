from __future__ import annotations

import asyncio
import socket
import time

from behave import given, then, when
from edge_fleet import CALL_ID_HEADER, HOSTNAME, KEY, EdgeFleet

MB = 1_000_000
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
