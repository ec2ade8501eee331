from __future__ import annotations

import asyncio
import sys
from types import SimpleNamespace

from behave import then
from resumed_streams_steps import Body, find_failure, make_reader

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.bounds.byte_limit_error import ByteLimitError
from clementineyoke_node.bounds.byte_limits import (
    CONTROL_ANSWERS,
    DEFAULT_MAX_ANSWER_BYTES,
    DEFAULT_MAX_HELD_BYTES,
    ByteLimits,
)
from clementineyoke_node.edge.address_lifetimes import AddressLifetimes
from clementineyoke_node.edge.caller_stream import CallerStream
from clementineyoke_node.edge.runner_connections import RunnerConnections
from clementineyoke_node.edge.runner_protocol import RunnerProtocol
from clementineyoke_node.metrics import Metrics

MAX_BYTES = 65_536
PEER = ("127.0.0.1", 8000)


def make_limits():
    return ByteLimits(
        max_answer_bytes=MAX_BYTES, max_held_bytes=MAX_BYTES, metrics=Metrics()
    )


@then("no part of a refused body is kept with its error")
def check_body_freed(context):
    part = b"x" * (MAX_BYTES // 2)
    references = sys.getrefcount(part)
    body = Body([part] * 3)
    kept = None
    try:
        context.run(make_limits().read(body, peer="p"))
    except ByteLimitError as error:
        kept = error
    assert kept is not None
    body.parts.clear()
    # The frame that read the last part still refers to it.
    assert sys.getrefcount(part) <= references + 1, sys.getrefcount(part)


@then("no part of an event is kept after its stream was refused")
def check_event_freed(context):
    stream = CallerStream(request=None, last_event_id=None)
    response = SimpleNamespace(client_response=Body([b"data: " + b"x" * MAX_BYTES]))

    async def read():
        with make_reader(response, stream, make_limits()) as reader:
            await reader.next_events(asyncio.timeout(1))

    assert find_failure(lambda: context.run(read())) is AttemptOutcome.LOST
    assert stream.pending_bytes == 0, stream.pending_bytes


@then("by default all bounds together are below {megabytes:d} MB")
def check_default_bounds(context, megabytes):
    total = DEFAULT_MAX_HELD_BYTES + CONTROL_ANSWERS * DEFAULT_MAX_ANSWER_BYTES
    assert total < megabytes * 1_000_000, total


class EndedTransport(asyncio.Transport):
    """A transport that forgets its peer once the connection has ended."""

    def __init__(self):
        super().__init__(extra={"peername": PEER})

    def end(self):
        self._extra.clear()

    def abort(self):
        pass


@then("refused bytes are logged with the lifetime and address of their runner")
def check_refused_peer(context):
    limits, peers = make_limits(), []
    refuse = limits.refuse

    def record(kind, *, size_bytes, peer):
        peers.append(peer)
        return refuse(kind, size_bytes=size_bytes, peer=peer)

    limits.refuse = record

    async def act():
        loop, lifetimes = asyncio.get_running_loop(), AddressLifetimes()
        lifetimes.record(*PEER, lifetime="runner-0@17", now_s=loop.time())
        protocol = RunnerProtocol(
            loop=loop,
            byte_limits=limits,
            address_lifetimes=lifetimes,
            connections=RunnerConnections(),
        )
        transport = EndedTransport()
        protocol.connection_made(transport)
        lifetimes.record(*PEER, lifetime="runner-0@18", now_s=loop.time())
        transport.end()
        protocol.data_received(b"id: 7\ndata: piece 7\n\n")

    context.run(act())
    assert peers == ["runner-0@17 at 127.0.0.1:8000"], peers
