from __future__ import annotations

import asyncio
import socket
import time

from behave import then, when

from clementineyoke_node.peers.peer_socket import DATAGRAM_OVERHEAD_BYTES
from clementineyoke_node.timers.bounded_wait import wait_for_result

TICK_S = 0.15


@when("the event loop stands still for {stall_s:g} s")
def stall(context, stall_s):
    async def act():
        await asyncio.sleep(TICK_S)
        time.sleep(stall_s)
        await asyncio.sleep(TICK_S)

    context.run(act())


@when("the machine is suspended for {suspension_s:g} s")
def suspend(context, suspension_s):
    """Let time pass that the steady clock does not count."""
    steady = time.monotonic
    context.add_cleanup(setattr, time, "monotonic", steady)

    async def act():
        await asyncio.sleep(TICK_S)
        time.sleep(suspension_s)
        time.monotonic = lambda: steady() - suspension_s
        await asyncio.sleep(TICK_S)

    context.run(act())


@then("the node has counted a stall of {least_ms:d} to {most_ms:d} ms")
def check_stall(context, least_ms, most_ms):
    counter = context.fleet.nodes[0].state.metrics.loop_stalled_ms
    assert least_ms <= counter.get({}) <= most_ms, counter.get({})


@when(
    "the node stands still for {stall_s:g} s while it opens connections for"
    " {count:d} calls"
)
def stall_amid_connecting(context, stall_s, count):
    fleet = context.fleet
    session = fleet.nodes[0].io.connection_pool._keepalive_session
    open_socket = session.connector._socket_factory
    stalls = [stall_s]

    def open_before_stall(address):
        opened = open_socket(address)
        if stalls:
            # The connection is asked for in this turn of the loop.
            asyncio.get_running_loop().call_soon(time.sleep, stalls.pop())
        return opened

    async def act():
        session.connector._socket_factory = open_before_stall
        return await asyncio.gather(
            *(
                fleet.call(
                    "idempotent", call_id=f"c-{n}", session=fleet.concurrent_session
                )
                for n in range(count)
            )
        )

    context.answers = context.run(act())
    assert not stalls


@then("all of these calls are answered, and no connection has failed")
def check_connected(context):
    assert [status for status, _, _ in context.answers] == [200] * 4, context.answers
    counter = context.fleet.nodes[0].state.metrics.runner_connections
    counts = {tuple(sorted(labels.items())): n for labels, n in counter.get_all()}
    assert not any("failed" in dict(labels).values() for labels in counts), counts


@when("the node stands still for {stall_s:g} s while it probes runner {number:d}")
def stall_amid_probe(context, stall_s, number):
    node = context.fleet.nodes[0]
    (entry,) = node.state.table.entries()

    async def act():
        asyncio.get_running_loop().call_soon(time.sleep, stall_s)
        return await node.io.connection_pool.is_listening(entry.runner)

    context.is_listening = context.run(act())


@then("the runner is found to listen")
def check_listening(context):
    assert context.is_listening


@when(
    "a request with a timeout of {timeout_ms:d} ms meets a stall of {stall_ms:d} ms, "
    "and {event}"
)
def wait_amid_stall(context, timeout_ms, stall_ms, event):
    class Receiver(asyncio.DatagramProtocol):
        def datagram_received(self, data, addr):
            if not future.done():
                future.set_result("reply")

    async def act():
        nonlocal future
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        transport, _ = await loop.create_datagram_endpoint(
            Receiver, local_addr=("127.0.0.1", 0)
        )
        wait = wait_for_result(future, timeout_ms=timeout_ms)
        task = asyncio.ensure_future(wait)
        await asyncio.sleep(0)
        if event == "its caller leaves with the reply":
            future.set_result("reply")
            task.cancel()
        elif event == "its reply arrives meanwhile":
            transport.sendto(b"x", transport.get_extra_info("sockname"))
        time.sleep(stall_ms / 1000)
        await asyncio.wait({task})
        transport.close()
        if task.cancelled():
            return "cancelled"
        return "timeout" if task.exception() else task.result()

    future = None
    context.end = context.run(act())


@then('the request ends as "{end}"')
def check_end(context, end):
    assert context.end == end, context.end


@when("{count:d} datagrams wait for the node")
def send_datagrams(context, count):
    peers = context.fleet.nodes[0].io.socket
    context.expected_bytes = peers.received_bytes
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            sender.sendto(b"unsigned", peers._address)
            context.expected_bytes += len(b"unsigned") + DATAGRAM_OVERHEAD_BYTES


@then("it reads them within {turns:d} turns of its event loop")
def check_read(context, turns):
    async def act():
        for _ in range(turns):
            await asyncio.sleep(0)
        return context.fleet.nodes[0].io.socket.received_bytes

    received = context.run(act())
    assert received == context.expected_bytes, (received, context.expected_bytes)
