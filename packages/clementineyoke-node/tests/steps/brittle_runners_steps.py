from __future__ import annotations

import asyncio
import time
from collections import Counter

from behave import given, then, when
from edge_fleet import EdgeFleet

from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.edge.edge_store import StoreFault
from clementineyoke_standins.edge.written_specs import SLOTS

EXECUTE_S = 0.2


@given(
    "{nodes:d} nodes and {runners:d} brittle runners that may reject {limit:d} calls "
    "a second"
)
def given_brittle_fleet(context, nodes, runners, limit):
    fleet = EdgeFleet(nodes=nodes, runners=runners)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    for runner in fleet.runners:
        runner.fallback_response = ScriptedResponse.SLOW
        runner.slow_delay_s = EXECUTE_S
        runner.max_running = SLOTS
        runner.max_rejections_per_s = limit
        runner.brittle_header = str(limit)


@given("each node has seen an answer of them")
def see_answers(context):
    async def act():
        for number in range(len(context.fleet.nodes)):
            for n in range(2):
                await make_call(context, number, f"first-{number}-{n}")
        await asyncio.sleep(1.1)  # homes are unsure about a runner that is new to them

    context.run(act())


@given("the store is away")
def close_store(context):
    context.fleet.store.fault = StoreFault.UNAVAILABLE


@given("the runners execute {count:d} calls at once")
def limit_running(context, count):
    for runner in context.fleet.runners:
        runner.max_running = count


async def make_call(context, number, call_id):
    session = context.fleet.concurrent_session
    return await context.fleet.call(
        "idempotent", number=number, call_id=call_id, session=session
    )


async def surge(context, count, length_s, *, during=None):
    calls, numbers = [], list(range(len(context.fleet.nodes)))
    for n in range(count):
        number = numbers[n % len(numbers)]
        calls.append(asyncio.ensure_future(make_call(context, number, f"call-{n}")))
        if during is not None and n == count // 3:
            removed = await during()
            numbers.remove(removed)
        await asyncio.sleep(length_s / count)
    answers = await asyncio.gather(*calls, return_exceptions=True)
    context.answers = [answer for answer in answers if isinstance(answer, tuple)]


@when("callers make {count:d} calls that take 0.2 s within {length_s:g} s")
def make_surge(context, count, length_s):
    context.run(surge(context, count, length_s))


def home_number(context):
    homes = context.fleet.nodes[0].state.region_homes
    return int(homes.home_of(context.fleet.runners[0].runner_id).rpartition("-")[2])


@when(
    "callers make {count:d} calls that take 0.2 s within {length_s:g} s, and a home "
    "starts again"
)
def make_surge_with_restart(context, count, length_s):
    async def restart():
        number = home_number(context)
        await context.fleet.nodes[number].__aexit__(None, None, None)
        del context.fleet.nodes[number]
        node = await context.fleet.start_node(number, wait=False)
        context.fleet.nodes.remove(node)
        context.fleet.nodes.insert(number, node)
        return number

    context.run(surge(context, count, length_s, during=restart))


@when(
    "callers make {count:d} calls that take 0.2 s within {length_s:g} s, and a home "
    "leaves"
)
def make_surge_with_leave(context, count, length_s):
    async def leave():
        number = home_number(context)
        context.fleet.nodes[number].request_stop()
        return number

    context.run(surge(context, count, length_s, during=leave))


@then("no runner has fallen over")
def check_no_fall(context):
    falls = [runner.rejection_crashes for runner in context.fleet.runners]
    rejections = [len(runner.rejection_times_s) for runner in context.fleet.runners]
    assert sum(falls) == 0, (falls, rejections)


@then("all calls are answered or refused as not run")
def check_answers(context):
    statuses = Counter(status for status, _, _ in context.answers)
    assert set(statuses) <= {200, 503}, statuses
    assert statuses[200], statuses


@when("the runners say no more that they are brittle")
def end_brittle(context):
    for runner in context.fleet.runners:
        runner.brittle_header = ""


@when('the runners send "{header}" as the limit')
def send_header(context, header):
    for runner in context.fleet.runners:
        runner.brittle_header = header


@when("{length_s:g} s pass with a call each {pause_s:g} s")
def pass_with_calls(context, length_s, pause_s):
    async def act():
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            await make_call(context, 0, "call")
            await asyncio.sleep(pause_s)

    context.run(act())


@when("{count:d} calls are made at once")
def make_at_once(context, count):
    async def act():
        runner = context.fleet.runners[0]
        runner.max_running = None
        runner.most_running = 0
        calls = [make_call(context, 0, f"call-{n}") for n in range(count)]
        await asyncio.gather(*calls)

    context.run(act())


@then("the runners executed up to {count:d} calls at once")
def check_running(context, count):
    assert context.fleet.runners[0].most_running == count, context.fleet.runners[
        0
    ].most_running
