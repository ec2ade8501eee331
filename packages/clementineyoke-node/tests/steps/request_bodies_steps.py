from __future__ import annotations

import asyncio

import msgspec
from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until
from endless_bytes_steps import make_settings
from leaving_node_steps import connect

from clementineyoke_node.config.edge_config import EdgeConfig
from clementineyoke_standins.edge.edge_runner import ScriptedResponse

LONG_DEADLINE = {"X-Deadline-Ms": "30000"}
LIMIT_S = 2.0


@given("a node that holds {bound:d} bytes of bodies, and a runner that does not answer")
def given_node(context, bound):
    fleet = EdgeFleet(runners=1, settings={"max_request_bytes": bound})
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.requests = []
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.add_cleanup(lambda: leave(context))
    fleet.runners[0].fallback_response = ScriptedResponse.HANG


async def send_parts(size):
    yield bytes(size // 2)
    await asyncio.sleep(0)
    yield bytes(size - size // 2)


async def send(context, size, *, is_chunked=False):
    """Begin a request, and wait until it is answered or its runner has it."""
    fleet = context.fleet
    count = len(fleet.calls())
    request = asyncio.ensure_future(
        fleet.call(
            "non_idempotent",
            call_id=f"call-{len(context.requests)}",
            headers=LONG_DEADLINE,
            session=fleet.concurrent_session,
            data=send_parts(size) if is_chunked else bytes(size),
        )
    )
    context.requests.append(request)
    await wait_until(lambda: request.done() or len(fleet.calls()) > count, LIMIT_S)
    return request


@when("{count:d} requests with bodies of {size:d} bytes arrive, {framing}")
def send_all(context, count, size, framing):
    async def act():
        for _ in range(count):
            await send(context, size, is_chunked=framing == "in chunks")

    context.run(act())


@then("{count:d} of them reach the runner, and the others are refused as not run")
def check_refused(context, count):
    assert len(context.fleet.calls()) == count, context.fleet.calls()
    answers = [request.result() for request in context.requests if request.done()]
    assert len(answers) == len(context.requests) - count, answers
    for status, headers, body in answers:
        assert status == 503, (status, body)
        assert float(headers["Retry-After"]) > 0, headers
    refused = context.fleet.nodes[0].state.metrics.bodies_refused.get({})
    assert refused == len(answers), refused


@then("a request with a body of {size:d} bytes reaches the runner")
def check_short(context, size):
    request = context.run(send(context, size))
    assert not request.done(), request.result()


@when("their callers leave")
def when_left(context):
    leave(context)
    node = context.fleet.nodes[0]
    context.run(wait_until(lambda: not node.state.in_flight.count, LIMIT_S))


def leave(context):
    async def act():
        for request in context.requests:
            request.cancel()
        await asyncio.gather(*context.requests, return_exceptions=True)

    context.run(act())


@then("{count:d} further requests with bodies of {size:d} bytes reach the runner")
def check_further(context, count, size):
    for _ in range(count):
        request = context.run(send(context, size))
        assert not request.done(), request.result()


async def send_head(context, size):
    reader, writer = await connect(context.fleet)
    context.add_cleanup(writer.close)
    writer.write(
        b"POST / HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: announced\r\n"
        b"Content-Length: %d\r\n\r\n" % size
    )
    return reader, writer


@when("{count:d} requests announce bodies of {size:d} bytes and send none of them")
def announce_all(context, count, size):
    async def act():
        for _ in range(count):
            await send_head(context, size)
        in_flight = context.fleet.nodes[0]._caller_api._active_connections
        await wait_until(lambda: len(in_flight) == count, LIMIT_S)

    context.run(act())


@when("a request announces a body of {size:d} bytes and sends none of it")
def announce(context, size):
    async def act():
        reader, writer = await send_head(context, size)
        context.line = await asyncio.wait_for(reader.readline(), LIMIT_S)
        writer.close()

    context.run(act())


@then("it is answered with {status:d} at once")
def check_status(context, status):
    assert context.line.split()[1] == b"%d" % status, context.line


@given("the settings of a node with {memory} MB and a bound of {bound}")
def given_settings(context, memory, bound):
    fields = {"memory_mb": memory, "max_request_bytes": bound}
    document = {name: msgspec.json.decode(text) for name, text in fields.items()}
    context.settings = msgspec.convert({**make_settings(), **document}, EdgeConfig)


@then("it holds {size:d} bytes of bodies")
def check_bound(context, size):
    assert context.settings.request_bytes == size, context.config.request_bytes
