from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys

from behave import then, when

from clementineyoke_node.console.early_start import EarlyStart, listener_addresses
from clementineyoke_standins.soak.loopback import free_ports


@when("a process opens its listening sockets before it loads its modules")
def start_early(context):
    (port,) = free_ports(1)
    address = f"127.0.0.1:{port}"

    async def act():
        with EarlyStart(addresses=[address]) as start:
            host, port = address.split(":")
            caller = socket.create_connection((host, int(port)), timeout=2)
            caller.sendall(b"a call")
            # A node loads its modules here; then the event loop takes the socket.
            server = await asyncio.start_server(echo, sock=start.take_listener(address))
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            context.received = await asyncio.wait_for(loop.sock_recv(caller, 64), 2)
            caller.close()
            server.close()

    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    context.run(act())
    for number, handler in handlers.items():
        signal.signal(number, handler)


HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


async def echo(reader, writer):
    writer.write(await reader.read(64))
    await writer.drain()
    writer.close()


@then("a caller that connects in between is answered once they are loaded")
def check_answer(context):
    assert context.received == b"a call"


@when("a node's process gets SIGTERM while it starts")
def terminate_at_start(context):
    code = (
        "import os, signal\n"
        "from clementineyoke_node.console.early_start import EarlyStart\n"
        "with EarlyStart(addresses=[]) as start:\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    print(start.is_stop_requested, flush=True)\n"
    )
    context.started = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=False, timeout=60
    )


@then("it continues to start and has recorded the stop request")
def check_stop_recorded(context):
    assert context.started.returncode == 0, context.started
    assert context.started.stdout == b"True\n"


@when("a process opens a listening socket at an address that is in use")
def open_used_address(context):
    with socket.socket() as used:
        used.bind(("127.0.0.1", 0))
        used.listen()
        address = f"127.0.0.1:{used.getsockname()[1]}"
        code = (
            "from clementineyoke_node.console.early_start import EarlyStart\n"
            f"with EarlyStart(addresses=[{address!r}]) as start:\n"
            f"    print(start.take_listener({address!r}))\n"
        )
        context.started = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=False,
            timeout=60,
            env=dict(os.environ),
        )


@then("it continues without that socket")
def check_no_socket(context):
    assert context.started.stdout == b"None\n", context.started
    assert listener_addresses(["--doors=a:1,b:2", "x"]) == ["a:1", "b:2"]


@when("a node starts and a call arrives before its state")
def make_call_before_state(context):
    async def act():
        fleet = context.fleet
        node = await fleet.start_node(0, wait=False)
        context.was_ready = node.io.view.ready.is_set()
        context.answer = await fleet.call("idempotent")

    context.run(act())
    assert not context.was_ready, "the state arrived before the call"
