from __future__ import annotations

import asyncio

from behave import given, when
from edge_steps import wait_until
from reused_addresses_steps import DOCUMENT, EVENT_PAUSE_S, stream_calls
from runner_restarts_steps import BORN_MS

from clementineyoke_node.peers.peer_socket import PeerAddress, PeerMessage
from clementineyoke_standins.edge.raw_answers import encode_raw_head
from clementineyoke_wire.messages import RunnerEnd

ENTRY_STATES = {"its next entry": "ready", "an entry that drains": "draining"}
PEER = PeerAddress("127.0.0.9", 1)


async def tell(context, runner, evidence):
    """Let the node learn that the known lifetime of a runner has ended."""
    fleet = context.fleet
    (node,) = fleet.nodes
    known = node.state.table.get(runner.runner_id).runner
    if evidence == "a refused connection":
        node.io.streams.lifetimes.record_end(known)
    elif evidence == "a peer's message":
        end = RunnerEnd(known.lifetime_hash, is_relayed=True)
        node.io.streams.lifetimes._receive(PeerMessage(PEER, 0, end))
    else:
        state = ENTRY_STATES[evidence]
        await fleet.register_runner(runner, state, born_ms=BORN_MS + 1_000)
        await wait_until(lambda: not node.state.table.is_current(known), 2)


def act_before_tries(context, act):
    """Run an action to its end before the node tries the address of a runner."""
    (node,) = context.fleet.nodes
    liveness = node.io.connection_pool.liveness
    is_listening = liveness._is_listening

    async def act_and_try(runner):
        await act(runner)
        return await is_listening(runner)

    liveness._is_listening = act_and_try


@given("a runner that ends is back at once, and the node learns it by {evidence}")
def given_return(context, evidence):
    async def come_back(runner):
        await runner.start()
        await tell(context, runner, evidence)

    def on_crash(runner):
        context.back = asyncio.ensure_future(come_back(runner))

    async def wait_until_back(_):
        await context.back

    for runner in context.fleet.runners:
        runner.on_crash = on_crash
    act_before_tries(context, wait_until_back)


@given("{evidence} speaks of the end of a runner {moment} its stream")
def given_wrong_evidence(context, evidence, moment):
    async def tell_amid_stream():
        await wait_until(lambda: stream_calls(context), 5)
        await asyncio.sleep(2 * EVENT_PAUSE_S)
        await tell_of(stream_calls(context)[0])

    async def tell_of(called):
        (runner,) = (
            r for r in context.fleet.runners if r.runner_id == called.runner_id
        )
        await tell(context, runner, evidence)

    async def act():
        if moment == "amid":
            context.told = asyncio.ensure_future(tell_amid_stream())
        elif moment == "at the end of":
            act_before_tries(context, tell_of)
        else:
            for runner in context.fleet.runners:
                await tell(context, runner, evidence)

    context.run(act())


@when("connections are refused, and a short document is sent right after that")
def send_document(context):
    async def answer(call):
        yield encode_raw_head(call) + DOCUMENT
        raise ConnectionResetError  # The stand-in closes the connection in order.

    async def act():
        for runner in context.fleet.runners:
            runner.raw_answer = answer
            await tell(context, runner, "a refused connection")
        await context.fleet.call("idempotent")

    context.run(act())
