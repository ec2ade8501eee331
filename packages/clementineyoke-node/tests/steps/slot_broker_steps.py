from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from behave import given, then, when
from slot_home_steps import RUNNER

from clementineyoke_core.grants.call_profile import CallProfile
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire.messages import SlotRelease

REQUEST = SlotRequest("m", key=1, profile=CallProfile(1, 5), wait_ms=0)


class SilentSocket:
    """A socket whose requests are recorded and never answered."""

    def __init__(self):
        self.requests = []
        self.sent = []

    def next_ask_id(self):
        return len(self.requests) + 1

    def send(self, peer, message):
        self.sent.append(message)

    async def request(self, node, message, *, reply_type, timeout_ms):
        self.requests.append(message)
        async with asyncio.timeout(timeout_ms / 1000):
            await asyncio.Event().wait()


def make_broker(*, socket, **options):
    """Return a broker of node n1 with one runner, whose home is n2."""
    own, other = (Node(f"n{n}", "127.0.0.1", 1, n, "z", "region") for n in (1, 2))
    membership = Membership(local_node=own, incarnation=1, rng=Random(1))
    membership.apply_host_list(live=[own, other], leaving=[])
    table = RunnerTable()
    table.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)
    rings = PoolRings(table=table, region="region")
    rings.rebuild()
    homes = RunnerHomes()
    homes.reassign(nodes=["n2"], pools={"m": ["engine-1"]})
    return SlotBroker(
        membership=membership,
        table=table,
        rings=rings,
        homes=homes,
        slot_home=None,
        socket=socket,
        timeout_ms=30,
        **options,
    )


@given("a broker whose runner's home is another node")
def given_broker(context):
    context.socket = SilentSocket()
    context.broker = make_broker(socket=context.socket)


@when("the caller disconnects while the home is being asked")
def cancel(context):
    async def run():
        acquiring = asyncio.create_task(context.broker.acquire(REQUEST))
        while not context.socket.requests:
            await asyncio.sleep(0)
        acquiring.cancel()
        with suppress(asyncio.CancelledError):
            await acquiring

    context.run(run())


@when("the home does not reply to the request")
def ignore_request(context):
    context.lease = context.run(context.broker.acquire(REQUEST))


@then("the slot that may have been granted is released")
def check_released(context):
    ask = context.socket.requests[0]
    assert SlotRelease(ask.ask_id, ask.runner) in context.socket.sent


@then("the request falls back to the runner without a grant from its home")
def check_fallback(context):
    assert (context.lease.runner, context.lease.reason) == (RUNNER, "home_silent")
