from __future__ import annotations

import asyncio
import contextlib

import aiohttp
from behave import then, when
from cut_proxy import CutProxy, cut_places
from edge_fleet import STORE_HOST, EdgeFleet
from edge_steps import WHOLE_STREAM, wait_until

from clementineyoke_standins.edge.edge_runner import ReceivedCall, ScriptedResponse
from clementineyoke_standins.edge.raw_answers import EVENT_STREAM, encode_raw_head
from clementineyoke_standins.edge.source_filter import LinkCut, reset_connection

CALL_ID = "the-call"
BEFORE_CALLS = 4
CUT_PAUSE_S = 0.02
FORWARD_TIMEOUT_S = 10.0
FOLLOW_TIMEOUT_S = 3.0
FRAMINGS = {
    "a length": {"Content_Length": "118"},
    "chunks": {"Transfer_Encoding": "chunked"},
    "neither": {},
}
CONTENT_TYPES = {"streaming": EVENT_STREAM}


def is_sound(answer, kind):
    """Return whether a caller got a whole answer, a failure, or none."""
    if answer is None or answer[0] >= 400:
        return True
    whole = WHOLE_STREAM if kind == "streaming" else f"answer to {CALL_ID}"
    return (answer[0], answer[2]) == (200, whole)


async def call(fleet, kind, call_id=CALL_ID):
    with contextlib.suppress(aiohttp.ClientError):
        return await fleet.call(kind, call_id=call_id, session=fleet.concurrent_session)
    return None


def head_of(received, kind, framing):
    fields = {"Content_Type": CONTENT_TYPES.get(kind, "text/plain")}
    return encode_raw_head(received, **fields, **FRAMINGS[framing])


async def stop_nodes(fleet):
    """End the tasks that wait for the end of the fleet's nodes."""
    for task in fleet.stop_tasks:
        task.cancel()
    await asyncio.gather(*fleet.stop_tasks, return_exceptions=True)


OTHER_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Signature: other\r\nX-Note: some text\r\n\r\n"
)
"""A head that names no call."""


async def play_before(kind, place):
    """Return the answer of a call whose failure follows a part of another head."""
    fleet = EdgeFleet(nodes=1, runners=2)
    async with fleet:
        received = []

        async def send(call):
            received.append(call)
            body = b"failure"
            fields = {"Content_Length": str(len(body))}
            head = encode_raw_head(call, "500 Failed", **fields)
            yield OTHER_HEAD[:place] + head + body

        def answer(call):
            return send(call) if call.call_id == CALL_ID else None

        for runner in fleet.runners:
            runner.raw_answer = answer
        got = await call(fleet, kind)
        await stop_nodes(fleet)
        return place, got, len(received)


@when('each runner of a "{kind}" call fails it after a part of another answer\'s head')
def play_parts(context, kind):
    context.kind, context.rows, context.kept = kind, [], 0

    async def act():
        for place in cut_places(OTHER_HEAD)[1:]:
            context.rows.append(await play_before(kind, place))

    context.run(act())


async def play_kept(kind, framing, place, end):
    """Return the answer of a call whose runner cuts it on a kept connection."""
    fleet = EdgeFleet(nodes=1, runners=2)
    async with fleet:
        cut_calls = []
        for runner in fleet.runners:
            runner.responses_by_prefix["/streaming/"] = ScriptedResponse.STREAM

            def answer(received, runner=runner):
                if received.call_id != CALL_ID or cut_calls:
                    return None
                cut_calls.append(received)
                return send_cut(runner, received)

            runner.raw_answer = answer

        async def send_cut(runner, received):
            yield head_of(received, kind, framing)[:place]
            await asyncio.sleep(CUT_PAUSE_S)
            if end == "reset":
                for writer in list(runner._writers):
                    reset_connection(writer)
            if end == "taken over":
                runner.crash_manner = runner.crash_manner.CLOSE
                runner.crash()
                runner.runner_id += "-next"
                await runner.start()
            raise ConnectionResetError

        for number in range(BEFORE_CALLS):
            await call(fleet, "idempotent", f"before-{number}")
        got = await call(fleet, kind)
        received = [c for c in fleet.calls() if c.call_id == CALL_ID]
        earlier = {
            c.sender_port for c in fleet.calls() if c.call_id.startswith("before")
        }
        was_kept = bool(cut_calls) and received[0].sender_port in earlier
        await stop_nodes(fleet)
        return got, len(received), was_kept


@when('a runner stops in the head of a "{kind}" call\'s answer, with {framing}: {end}')
def play_runner(context, kind, framing, end):
    headers = {"x-attempt-id": CALL_ID}
    head = head_of(ReceivedCall("GET", "/", headers, b""), kind, framing)
    context.kind, context.rows, context.kept = kind, [], 0

    async def act():
        for place in cut_places(head):
            got, count, was_kept = await play_kept(kind, framing, place, end)
            context.rows.append((place, got, count))
            context.kept += was_kept

    context.run(act())
    assert context.kept > len(context.rows) / 2, (context.kept, len(context.rows))


@then("no caller gets a part of an answer as a whole one")
def check_rows(context):
    bad = [row for row in context.rows if not is_sound(row[1], context.kind)]
    assert context.rows
    assert not bad, (len(bad), len(context.rows), bad)


@then("no call that may run once reaches a second runner")
def check_counts(context):
    if context.kind == "non_idempotent":
        bad = [row for row in context.rows if row[2] > 1]
        assert not bad, bad


@when('a peer stops in the head of a "{kind}" call\'s answer that it relays: {end}')
def play_peer(context, kind, end):
    context.kind, context.rows, context.kept = kind, [], 0

    async def act():
        fleet = EdgeFleet(nodes=2, runners=2, has_own_sources=True)
        async with fleet:
            for runner in fleet.runners:
                runner.responses_by_prefix["/streaming/"] = ScriptedResponse.STREAM
                runner.cut_links(["127.0.0.2"], LinkCut.RESET)
            node = fleet.nodes[0]
            relay = node.io.peer_relay
            choose = relay.choose_peers
            async with CutProxy("127.0.0.3", fleet.ports[0]) as proxy:
                proxy.resets = end == "reset"
                relay.choose_peers = lambda pool: [
                    peer._replace(address=STORE_HOST, caller_port=proxy.port)
                    for peer in choose(pool)
                ]
                async with asyncio.timeout(FORWARD_TIMEOUT_S):
                    while not proxy.heads:
                        await call(fleet, kind)
                        await asyncio.sleep(CUT_PAUSE_S)
                for place in cut_places(proxy.heads[-1]):
                    proxy.cut = lambda _, place=place: place
                    cuts = proxy.cuts
                    for runner in fleet.runners:
                        runner.calls.clear()
                    got = await call(fleet, kind)
                    count = len([c for c in fleet.calls() if c.call_id == CALL_ID])
                    assert proxy.cuts > cuts, place
                    context.rows.append((place, got, count))
            await stop_nodes(fleet)

    context.run(act())


async def wait_ready(node, runner, is_ready):
    """Return whether a node soon knows that a runner takes calls, or takes none."""

    def is_known():
        return node.state.table.is_ready(runner.runner_id) == is_ready

    with contextlib.suppress(AssertionError, TimeoutError):
        await wait_until(is_known, FOLLOW_TIMEOUT_S)
    return is_known()


@when("the store stops in the head of its answers at each place: {end}")
def play_store(context, end):
    context.rows = []

    async def act():
        fleet = EdgeFleet(nodes=0, runners=2)
        async with fleet:
            host, port = fleet.store_address.split(":")
            async with CutProxy(host, int(port)) as proxy:
                proxy.resets = end == "reset"
                fleet.store_address = f"{STORE_HOST}:{proxy.port}"
                node = await fleet.start_node(0)
                for number, place in enumerate(cut_places(proxy.heads[-1])):
                    proxy.cut = lambda _, place=place: place
                    cuts = proxy.cuts
                    proxy.drop()
                    runner = fleet.runners[0]
                    is_leaving = number % 2 == 0
                    state = "draining" if is_leaving else "ready"
                    await fleet.register_runner(runner, state=state)
                    async with asyncio.timeout(FOLLOW_TIMEOUT_S):
                        while proxy.cuts < cuts + 2:
                            await asyncio.sleep(0.02)
                    got = await call(fleet, "idempotent")
                    proxy.cut = None
                    follows = await wait_ready(node, runner, not is_leaving)
                    context.rows.append((place, got, follows))
            await stop_nodes(fleet)

    context.run(act())


@then("the node serves all the time, and follows the store after each")
def check_store(context):
    bad = [r for r in context.rows if r[1] is None or r[1][0] != 200 or not r[2]]
    assert context.rows
    assert not bad, (len(bad), len(context.rows), bad)
