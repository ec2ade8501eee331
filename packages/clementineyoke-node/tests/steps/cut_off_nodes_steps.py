from __future__ import annotations

import asyncio
from collections import Counter

from behave import given, then, when
from edge_fleet import EdgeFleet

from clementineyoke_standins.edge.edge_runner import LinkCut, ScriptedResponse


@given("{nodes:d} nodes and {runners:d} runners, whose links to nodes can be cut")
def given_cut_fleet(context, nodes, runners):
    fleet = EdgeFleet(nodes=nodes, runners=runners, has_own_sources=True)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    for runner in fleet.runners:
        runner.responses_by_prefix["/streaming/"] = ScriptedResponse.STREAM
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))


def numbers_in(text):
    return [int(number) for number in text.split(",")]


async def call_each(context, kind, *, count, label, numbers):
    calls = [
        context.fleet.call(
            kind,
            number=number,
            call_id=f"{label}-{number}-{n}",
            session=context.fleet.concurrent_session,
        )
        for n in range(count)
        for number in numbers
    ]
    return await asyncio.gather(*calls)


@given("callers use all nodes")
def use_all_nodes(context):
    numbers = range(len(context.fleet.nodes))
    for kind in ("idempotent", "non_idempotent", "streaming"):
        answers = context.run(
            call_each(context, kind, count=4, label=f"first-{kind}", numbers=numbers)
        )
        assert {status for status, _, _ in answers} == {200}, answers


@when('nodes "{numbers}" lose their links to all runners, "{how}"')
def cut_links(context, numbers, how):
    addresses = [f"127.0.0.{number + 2}" for number in numbers_in(numbers)]
    for runner in context.fleet.runners:
        runner.cut_links(addresses, LinkCut(how))


@when("{wait_s:g} s has passed")
def wait(context, wait_s):
    context.run(asyncio.sleep(wait_s))


@when('callers make {count:d} "{kind}" calls at each node')
def make_calls_at_each(context, count, kind):
    numbers = range(len(context.fleet.nodes))
    context.kind = kind
    context.answers = context.run(
        call_each(context, kind, count=count, label="cut", numbers=numbers)
    )


@then("each of these calls is answered by a runner on its first try")
def check_all_served(context):
    statuses = Counter(status for status, _, _ in context.answers)
    assert set(statuses) == {200}, statuses
    for _, headers, _ in context.answers:
        assert "X-Server-Signature" in headers, headers


@then("no call was executed twice")
def check_once(context):
    executed = Counter(
        call.call_id for call in context.fleet.calls() if call.was_executed
    )
    assert max(executed.values()) == 1, executed.most_common(3)


@when('callers make {count:d} "{kind}" calls at all nodes, one each {pause_s:g} s')
def make_spaced_calls(context, count, kind, pause_s):
    async def act():
        numbers = range(len(context.fleet.nodes))
        rounds = []
        for n in range(count):
            calls = call_each(context, kind, count=1, label=f"r{n}", numbers=numbers)
            rounds.append(asyncio.ensure_future(calls))
            await asyncio.sleep(pause_s)
        await asyncio.gather(*rounds)

    context.rounds = count
    context.run(act())


@then('calls at nodes "{numbers}" pass over at most {count:d} paused runners')
def check_passed_over(context, numbers, count):
    passed_over = [
        decision["fields"]["passed_over"]
        for number in numbers_in(numbers)
        for n in range(context.rounds)
        for decision in context.fleet.nodes[number].state.decisions.find(
            f"r{n}-{number}-0"
        )
        if decision["event"] == "routed"
    ]
    paused = [entry for entry in passed_over if "paused" in entry.values()]
    assert len(paused) <= count, f"{len(paused)} of {len(passed_over)}: {paused[:3]}"
