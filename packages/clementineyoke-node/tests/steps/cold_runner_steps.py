from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until

COLD_MS = 20_000
"""Longer than a scenario, so that the machine's speed decides nothing."""
BEARS_PER_S = 4


@given(
    "a fleet of {nodes:d} nodes and {runners:d} runners, of which {cold:d} "
    "have just started"
)
@given(
    "a fleet of {nodes:d} node and {runners:d} runners, of which {cold:d} "
    "have just started"
)
@given(
    "a fleet of {nodes:d} nodes and {runners:d} runner, of which {cold:d} "
    "has just started"
)
def given_cold(context, nodes, runners, cold):
    figures = {"cold_s": COLD_MS / 1000, "cold_calls_per_s": BEARS_PER_S}
    fleet = EdgeFleet(nodes=nodes, runners=runners, cold=figures)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.cold = fleet.runners[:cold]

    async def turn_cold():
        for runner in context.cold:
            runner.cold_until_s = time.monotonic() + COLD_MS / 1000
            runner.cold_calls_per_s = BEARS_PER_S
            await fleet.register_runner(runner, cold_ms=COLD_MS)
        await wait_until(lambda: knows_cold(fleet, len(context.cold)), 3)

    context.run(turn_cold())


def knows_cold(fleet, count):
    return all(
        sum(node.io._is_cold(entry.runner) for entry in node.state.table.entries())
        == count
        for node in fleet.nodes
    )


@when("{count:d} calls come within a second")
def surge(context, count):
    async def run():
        context.answers = await asyncio.gather(
            *(come(context, number, count) for number in range(count))
        )

    context.run(run())


async def come(context, number, count, node=None):
    fleet = context.fleet
    await asyncio.sleep(number / count)
    return await fleet.call(
        "non_idempotent",
        number=number % len(fleet.nodes) if node is None else node,
        call_id=f"call-{number}",
        session=fleet.concurrent_session,
    )


@when("the runner's home falls silent and {count:d} calls come at the other node")
def silence_home(context, count):
    fleet = context.fleet
    home = fleet.nodes[0].state.region_homes.home_of(fleet.runners[0].runner_id)
    silent = next(n for n in fleet.nodes if n.state.config.node_id == home)
    other = fleet.nodes.index(silent) ^ 1
    silent.io.slot_home._receive_ask = lambda received: None
    handlers = silent.io.socket._handlers
    for message_type in list(handlers):
        handlers[message_type] = lambda received: None

    async def run():
        context.answers = await asyncio.gather(
            *(come(context, number, count, other) for number in range(count))
        )

    context.run(run())


@when("the runners say that they are warm")
def warm_up(context):
    async def run():
        for runner in context.cold:
            runner.cold_until_s = 0.0
            await context.fleet.register_runner(runner)
        await wait_until(lambda: knows_cold(context.fleet, 0), 3)

    context.run(run())


@then("no runner has ended")
def check_alive(context):
    assert [runner.crashes for runner in context.fleet.runners].count(0) == len(
        context.fleet.runners
    )


@then("a cold runner got no more than {most:d} calls in any second")
def check_pace(context, most):
    for runner in context.cold:
        times = [call.at_s for call in runner.calls]
        spans = [sum(at <= t < at + 1.0 for t in times) for at in times]
        assert 0 < max(spans, default=0) <= most, spans


@then("most of the calls are answered")
def check_most(context):
    statuses = [status for status, _, _ in context.answers]
    assert statuses.count(200) > len(statuses) / 2, statuses


@then("the decision on one of them names the cold runner that was passed over")
def check_explained(context):
    decisions = context.fleet.nodes[0].state.decisions
    found = [
        line["fields"]["passed_over"]
        for number in range(len(context.answers))
        for line in decisions.find(f"call-{number}")
        if line["event"] == "routed"
    ]
    assert {context.cold[0].runner_id: "cold"} in found, found


@then("those that are refused have not run and are told when to return")
def check_refusals(context):
    ran = {call.call_id for call in context.fleet.calls()}
    refused = [
        (number, headers)
        for number, (status, headers, _) in enumerate(context.answers)
        if status != 200
    ]
    assert refused
    for number, headers in refused:
        assert f"call-{number}" not in ran
        assert float(headers["Retry-After"]) > 0
