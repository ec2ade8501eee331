from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until

COLD_MS = 20_000
"""Longer than any scenario, so that the result does not depend on the machine."""
COLD_CALLS_PER_S = 4


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
    limits = {"cold_s": COLD_MS / 1000, "cold_calls_per_s": COLD_CALLS_PER_S}
    fleet = EdgeFleet(nodes=nodes, runners=runners, cold=limits)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.cold = fleet.runners[:cold]

    async def turn_cold():
        for runner in context.cold:
            runner.cold_until_s = time.monotonic() + COLD_MS / 1000
            runner.cold_calls_per_s = COLD_CALLS_PER_S
            await fleet.register_runner(runner, cold_ms=COLD_MS)
        await wait_until(lambda: knows_cold(fleet, len(context.cold)), 3)

    context.run(turn_cold())


def knows_cold(fleet, count):
    return all(
        sum(node.io._is_cold(entry.runner) for entry in node.state.table.entries())
        == count
        for node in fleet.nodes
    )


@when("{count:d} calls arrive within a second")
def surge(context, count):
    async def run():
        context.answers = await asyncio.gather(
            *(make_call(context, number, count) for number in range(count))
        )

    context.run(run())


async def make_call(context, number, count, node=None):
    fleet = context.fleet
    await asyncio.sleep(number / count)
    return await fleet.call(
        "non_idempotent",
        number=number % len(fleet.nodes) if node is None else node,
        call_id=f"call-{number}",
        session=fleet.concurrent_session,
    )


@when(
    "the runner's home node stops responding and {count:d} calls arrive at the other "
    "node"
)
def stop_home_responses(context, count):
    fleet = context.fleet
    home = fleet.nodes[0].state.region_homes.home_of(fleet.runners[0].runner_id)
    home_node = next(n for n in fleet.nodes if n.state.config.node_id == home)
    other = fleet.nodes.index(home_node) ^ 1
    home_node.io.slot_home._receive_ask = lambda received: None
    handlers = home_node.io.socket._handlers
    for message_type in list(handlers):
        handlers[message_type] = lambda received: None

    async def run():
        context.answers = await asyncio.gather(
            *(make_call(context, number, count, other) for number in range(count))
        )

    context.run(run())


@when("the runners report that they are warm")
def warm_up(context):
    async def run():
        for runner in context.cold:
            runner.cold_until_s = 0.0
            await context.fleet.register_runner(runner)
        await wait_until(lambda: knows_cold(context.fleet, 0), 3)

    context.run(run())


@then("no runner has crashed")
def check_no_crash(context):
    assert [runner.crashes for runner in context.fleet.runners].count(0) == len(
        context.fleet.runners
    )


@then("a cold runner received no more than {max_calls:d} calls in any second")
def check_max_rate(context, max_calls):
    for runner in context.cold:
        times = [call.received_s for call in runner.calls]
        call_counts = [sum(at <= t < at + 1.0 for t in times) for at in times]
        assert 0 < max(call_counts, default=0) <= max_calls, call_counts


@then("most of the calls are answered")
def check_most_answered(context):
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


@then("refused calls have not run and carry a Retry-After")
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


@when("the slot of a call expires while the node connects to its runner")
def expire_slot(context):
    io = context.fleet.nodes[0].io
    acquire, record_unreachable = io.broker.acquire, io.slot_home.record_unreachable
    context.leases, context.unreachable = [], []

    async def acquire_expiring(request):
        lease = await acquire(request)
        if not context.leases:
            lease = lease._replace(send_before_ms=0.0)
        context.leases.append(lease)
        return lease

    def record(runner_id, *, reporter):
        context.unreachable.append(runner_id)
        record_unreachable(runner_id, reporter=reporter)

    io.broker.acquire, io.slot_home.record_unreachable = acquire_expiring, record
    context.answers = [context.run(context.fleet.call("non_idempotent"))]


@then("the call is answered by the other runner and has run once")
def check_answered_once(context):
    assert [status for status, _, _ in context.answers] == [200]
    first, second = (lease.runner.runner_id for lease in context.leases)
    received = {runner.runner_id: len(runner.calls) for runner in context.fleet.runners}
    assert received == {first: 0, second: 1}, received
    assert context.fleet.nodes[0].io.broker.lease_count() == 0


@then("the runner does not count as unreachable")
def check_reachable(context):
    assert context.unreachable == []
    table = context.fleet.nodes[0].state.table
    assert not any(
        table.is_quarantined(runner.runner_id) for runner in context.fleet.runners
    )
