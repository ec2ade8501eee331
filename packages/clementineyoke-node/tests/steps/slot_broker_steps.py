from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from behave import given, then, when
from slot_home_steps import RUNNER

from clementineyoke_core.grants.call_profile import CallProfile, PromptCost
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire.codec import encode
from clementineyoke_wire.messages import SlotRelease, SlotRenewal, SlotReply

REQUEST = SlotRequest("m", key=1, profile=CallProfile(1, 5), wait_ms=0)


class SilentSocket:
    """A socket whose requests are recorded and never answered."""

    def __init__(self):
        self.requests = []
        self.sent = []
        self.is_silent = True

    def next_ask_id(self):
        return len(self.requests) + 1

    def send(self, peer, message):
        self.sent.append(message)

    async def request(self, node, message, *, reply_type, timeout_ms):
        self.requests.append(message)
        if not self.is_silent:
            return SlotReply(message.ask_id, False, 1)
        async with asyncio.timeout(timeout_ms / 1000):
            return await asyncio.Event().wait()


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
    context.now_ms = 0.0
    context.is_short = False
    context.broker = make_broker(
        socket=context.socket,
        is_short=lambda _: context.is_short,
        now_ms=lambda: context.now_ms,
    )


@given("the pool {state} capacity and the home has replied {age_s:g} s ago")
def given_reply(context, state, age_s):
    context.socket.is_silent = False
    context.run(context.broker.acquire(REQUEST))
    context.socket.is_silent = True
    context.socket.requests.clear()
    context.is_short = state == "is short of"
    context.now_ms = age_s * 1_000


@then("the request gets no slot")
def check_no_slot(context):
    assert context.lease is None


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


@when("a call of {tokens:d} shared, own and output tokens asks for a slot")
def ask_for_many_tokens(context, tokens):
    profile = CallProfile(1, 5, 400, PromptCost(1, tokens, tokens, tokens))
    context.run(context.broker.acquire(REQUEST._replace(profile=profile)))
    context.run(context.broker.renew())


@then("its request and the renewal of its slot can be encoded")
def check_encoded(context):
    ask = context.socket.requests[0]
    (renewal,) = (m for m in context.socket.sent if isinstance(m, SlotRenewal))
    for message in (ask, renewal):
        assert encode(message, incarnation=1)
    assert renewal.token_counts[0] > 0
