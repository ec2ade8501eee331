from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from behave import given, then, when
from slot_home_steps import RUNNER

from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire.messages import SlotRelease

WISH = SlotRequest("m", key=1, team=1, priority=5, wait_ms=0)


class SilentSocket:
    """Take asks and never answer."""

    def __init__(self):
        self.asks = []
        self.sent = []

    def next_ask_id(self):
        return len(self.asks) + 1

    def send(self, peer, message):
        self.sent.append(message)

    async def ask(self, node, message, *, reply_type, timeout_ms):
        self.asks.append(message)
        async with asyncio.timeout(timeout_ms / 1000):
            await asyncio.Event().wait()


@given("a broker whose runner's home is another node")
def given_broker(context):
    own, other = (Node(f"n{n}", "127.0.0.1", 1, n, "z", "region") for n in (1, 2))
    membership = Membership(local_node=own, incarnation=1, rng=Random(1))
    membership.apply_host_list(live=[own, other], leaving=[])
    table = RunnerTable()
    table.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)
    rings = PoolRings(table=table, region="region")
    rings.rebuild()
    homes = RunnerHomes()
    homes.reassign(nodes=["n2"], pools={"m": ["engine-1"]})
    context.socket = SilentSocket()
    context.broker = SlotBroker(
        membership=membership,
        table=table,
        rings=rings,
        homes=homes,
        slot_home=None,
        socket=context.socket,
        timeout_ms=30,
    )


@when("the caller goes away while the home is asked")
def cancel(context):
    async def run():
        asking = asyncio.create_task(context.broker.acquire(WISH))
        while not context.socket.asks:
            await asyncio.sleep(0)
        asking.cancel()
        with suppress(asyncio.CancelledError):
            await asking

    context.run(run())


@when("the home leaves the ask unanswered")
def leave_unanswered(context):
    context.lease = context.run(context.broker.acquire(WISH))


@then("the slot that may have been granted is given back")
def check_given_back(context):
    ask = context.socket.asks[0]
    assert SlotRelease(ask.ask_id, ask.runner) in context.socket.sent


@then("the request falls back on the runner without its home")
def check_fallback(context):
    assert (context.lease.runner, context.lease.reason) == (RUNNER, "home_silent")
