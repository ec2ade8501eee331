from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until
from multidict import CIMultiDict, CIMultiDictProxy

from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.platform.runner_codec import decode_response_head
from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.edge.edge_store import StoreFault


def runner(context, number):
    return context.fleet.runners[number - 1]


async def make_call(context, name, node, kind="non_idempotent"):
    """Make a call without a prompt, for which any runner may be chosen first."""
    return await context.fleet.call(kind, number=node - 1, call_id=name)


@given("runner {number:d} announces in its responses that it drains")
@when("runner {number:d} announces in its responses that it drains")
def announce_drain(context, number):
    runner(context, number).is_draining = True


@given("runner {number:d} refuses all calls with a backoff of {backoff_s:g} s")
@when("runner {number:d} refuses all calls with a backoff of {backoff_s:g} s")
def ask_to_back_off(context, number, backoff_s):
    runner(context, number).fallback_response = ScriptedResponse.REFUSE
    runner(context, number).retry_after_s = backoff_s


@when("the store stops responding")
def stop_store_responses(context):
    context.fleet.store.fault = StoreFault.SILENT


@when(
    "up to {max_calls:d} calls arrive at node {node:d} until runner {number:d} "
    "has answered"
)
def call_until_reached(context, max_calls, node, number):
    async def act():
        for n in range(max_calls):
            await make_call(context, f"first-{n}", node)
            if runner(context, number).calls:
                return

    context.run(act())
    assert runner(context, number).calls, (
        f"no call of {max_calls} reached runner {number}"
    )


@when("{count:d} more calls arrive at node {node:d}")
def make_more_calls(context, count, node):
    async def act():
        started_s = time.monotonic()
        answers = [await make_call(context, f"later-{n}", node) for n in range(count)]
        context.elapsed_s = time.monotonic() - started_s
        return answers

    context.answers = context.run(act())


@when('{count:d} "{kind}" calls arrive at node {node:d}')
def make_calls_of_kind(context, count, kind, node):
    async def act():
        return [
            await make_call(context, f"later-{n}", node, kind) for n in range(count)
        ]

    context.answers = context.run(act())


@then("runner {number:d} received {count:d} call")
def check_received(context, number, count):
    assert len(runner(context, number).calls) == count, runner(context, number).calls


@when('runner {number:d} answers each call as "{act}" and its backoff has passed')
def wait_for_backoff(context, number, act):
    answer_as(context, number, act)
    context.run(asyncio.sleep(runner(context, number).retry_after_s + 0.2))


@then("some of those reached runner {number:d}")
def check_some_reached(context, number):
    assert [c for c in runner(context, number).calls if "later" in c.call_id]


@then(
    "each is refused as not run within {limit_s:g} s, with a Retry-After of {min_s:d} "
    "s to {max_s:d} s"
)
def check_refused_at_once(context, limit_s, min_s, max_s):
    assert context.elapsed_s < limit_s * len(context.answers), context.elapsed_s
    assert {status for status, _, _ in context.answers} == {503}, context.answers
    for _, headers, _ in context.answers:
        assert min_s <= float(headers["Retry-After"]) <= max_s, headers


@when("the entry of runner {number:d} is removed and added again")
def remove_and_add_entry(context, number):
    fleet, standin = context.fleet, runner(context, number)
    table = fleet.nodes[0].state.table

    async def act():
        await fleet.store.remove("servers", standin.runner_id)
        await wait_until(lambda: table.get(standin.runner_id) is None, 4)
        await fleet.register_runner(standin)
        await wait_until(lambda: table.get(standin.runner_id) is not None, 4)

    context.run(act())


@then("the decision on one of those names runner {number:d} as {reason}")
def check_passed_over(context, number, reason):
    decisions = context.fleet.nodes[0].state.decisions
    found = [
        line["fields"]["passed_over"]
        for n in range(len(context.answers))
        for line in decisions.find(f"later-{n}")
        if line["event"] == "routed"
    ]
    assert {runner(context, number).runner_id: reason} in found, found


@then("none of those reached runner {number:d}")
def check_none_reached(context, number):
    reached = [c.call_id for c in runner(context, number).calls if "later" in c.call_id]
    assert not reached, reached


@then("all of them are answered")
def check_all_answered(context):
    statuses = [status for status, _, _ in context.answers]
    assert statuses.count(200) == len(statuses), statuses


@then('the decisions on "{call_id}" include "{event}"')
def check_decisions(context, call_id, event):
    found = context.fleet.nodes[0].state.decisions.find(call_id)
    assert event in [decision["event"] for decision in found], found


@when('the head of a response has status {status:d} and "{fields}"')
def parse_response_head(context, status, fields):
    name, _, value = fields.partition(": ")
    context.head = decode_response_head(
        status, CIMultiDictProxy(CIMultiDict({name: value}))
    )


@then("its runner is {state} and asks for {backoff_ms:d} ms of backoff")
def check_head(context, state, backoff_ms):
    assert context.head.is_draining == (state == "draining"), context.head
    assert context.head.retry_after_ms == backoff_ms, context.head


@given("a fleet of {nodes:d} nodes and {runners:d} runners that know each other")
def given_connected_fleet(context, nodes, runners):
    start_connected(context, EdgeFleet(nodes=nodes, runners=runners))


@given(
    'a fleet of {nodes:d} nodes in "{one}" and "{two}" and {runners:d} runners '
    "that know each other"
)
def given_connected_zones(context, nodes, one, two, runners):
    fleet = EdgeFleet(nodes=nodes, runners=runners, node_zones=(one, two))
    start_connected(context, fleet)


def start_connected(context, fleet):
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.run(wait_until(lambda: all(knows_fleet(fleet, n) for n in fleet.nodes), 3))


def knows_fleet(fleet, node):
    knows_nodes = len(node.state.membership.alive()) == len(fleet.nodes)
    return knows_nodes and len(node.state.table.entries()) == len(fleet.runners)


@when('runner {number:d} answers each call as "{act}"')
def answer_as(context, number, act):
    runner(context, number).fallback_response = ScriptedResponse(act)


@when(
    "up to {max_calls:d} calls arrive at the node that is not runner {number:d}'s home "
    "until it has answered"
)
def call_until_reached_elsewhere(context, max_calls, number):
    nodes = context.fleet.nodes
    home = nodes[0].state.region_homes.home_of(runner(context, number).runner_id)
    ids = [node.state.config.node_id for node in nodes]
    (elsewhere,) = (n for n, node_id in enumerate(ids, start=1) if node_id != home)
    call_until_reached(context, max_calls, elsewhere, number)


def knows_draining(node, runner_id):
    return node.state.table.get(runner_id).state is RunnerState.DRAINING


@then("node {node:d} knows within {limit_s:d} s that runner {number:d} drains")
def check_knows_draining(context, node, limit_s, number):
    runner_id = runner(context, number).runner_id
    notified = context.fleet.nodes[node - 1]
    context.run(wait_until(lambda: knows_draining(notified, runner_id), limit_s))


@then("all nodes know within {limit_s:d} s that runner {number:d} drains")
def check_all_know_draining(context, limit_s, number):
    for node in range(1, len(context.fleet.nodes) + 1):
        check_knows_draining(context, node, limit_s, number)


@when("node {number:d} starts")
def start_node(context, number):
    context.run(context.fleet.start_node(number - 1))
