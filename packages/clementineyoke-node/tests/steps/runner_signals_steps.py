from __future__ import annotations

import asyncio
import time

from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until
from multidict import CIMultiDict, CIMultiDictProxy

from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.platform.runner_codec import decode_head
from clementineyoke_standins.edge.edge_runner import Act
from clementineyoke_standins.edge.edge_store import StoreFault


def runner(context, number):
    return context.fleet.runners[number - 1]


async def come(context, name, node, kind="non_idempotent"):
    """Let a call without a prompt come: any runner may be its first."""
    return await context.fleet.call(kind, number=node - 1, call_id=name)


@given("runner {number:d} signals in its answers that it drains")
@when("runner {number:d} signals in its answers that it drains")
def signal_drain(context, number):
    runner(context, number).is_draining = True


@given("runner {number:d} refuses all calls with a backoff of {backoff_s:g} s")
@when("runner {number:d} refuses all calls with a backoff of {backoff_s:g} s")
def ask_to_back_off(context, number, backoff_s):
    runner(context, number).usual = Act.REFUSE
    runner(context, number).retry_after_s = backoff_s


@when("the store goes silent")
def silence_store(context):
    context.fleet.store.fault = StoreFault.SILENT


@when("{most:d} calls come at node {node:d} until runner {number:d} has answered")
def come_until_met(context, most, node, number):
    async def act():
        for n in range(most):
            await come(context, f"first-{n}", node)
            if runner(context, number).calls:
                return

    context.run(act())
    assert runner(context, number).calls, f"no call of {most} reached runner {number}"


@when("{count:d} more calls come at node {node:d}")
def come_more(context, count, node):
    async def act():
        began_s = time.monotonic()
        answers = [await come(context, f"later-{n}", node) for n in range(count)]
        context.longest_s = time.monotonic() - began_s
        return answers

    context.answers = context.run(act())


@when('{count:d} "{kind}" calls come at node {node:d}')
def come_of_kind(context, count, kind, node):
    async def act():
        return [await come(context, f"later-{n}", node, kind) for n in range(count)]

    context.answers = context.run(act())


@then("runner {number:d} saw {count:d} call")
def check_saw(context, number, count):
    assert len(runner(context, number).calls) == count, runner(context, number).calls


@when('runner {number:d} answers each call as "{act}" and its backoff has passed')
def backoff_passes(context, number, act):
    answer_as(context, number, act)
    context.run(asyncio.sleep(runner(context, number).retry_after_s + 0.2))


@then("some of those reached runner {number:d}")
def check_not_spared(context, number):
    assert [c for c in runner(context, number).calls if "later" in c.call_id]


@then(
    "each is refused as not run within {limit_s:g} s, to return after {least_s:d} s to "
    "{most_s:d} s"
)
def check_refused_at_once(context, limit_s, least_s, most_s):
    assert context.longest_s < limit_s * len(context.answers), context.longest_s
    assert {status for status, _, _ in context.answers} == {503}, context.answers
    for _, headers, _ in context.answers:
        assert least_s <= float(headers["Retry-After"]) <= most_s, headers


@when("the entry of runner {number:d} ends and returns")
def end_and_return(context, number):
    fleet, standin = context.fleet, runner(context, number)
    table = fleet.nodes[0].state.table

    async def act():
        await fleet.store.remove("servers", standin.runner_id)
        await wait_until(lambda: table.get(standin.runner_id) is None, 4)
        await fleet.register_runner(standin)
        await wait_until(lambda: table.get(standin.runner_id) is not None, 4)

    context.run(act())


@then("the decision on one of those names runner {number:d} as {why}")
def check_named(context, number, why):
    decisions = context.fleet.nodes[0].state.decisions
    found = [
        line["fields"]["passed_over"]
        for n in range(len(context.answers))
        for line in decisions.find(f"later-{n}")
        if line["event"] == "routed"
    ]
    assert {runner(context, number).runner_id: why} in found, found


@then("none of those reached runner {number:d}")
def check_spared(context, number):
    late = [c.call_id for c in runner(context, number).calls if "later" in c.call_id]
    assert not late, late


@then("all of them are answered")
def check_all_answered(context):
    statuses = [status for status, _, _ in context.answers]
    assert statuses.count(200) == len(statuses), statuses


@then('the decisions on "{call_id}" hold "{event}"')
def check_decisions(context, call_id, event):
    found = context.fleet.nodes[0].state.decisions.find(call_id)
    assert event in [decision["event"] for decision in found], found


@when('the head of an answer has status {status:d} and "{fields}"')
def decode(context, status, fields):
    name, _, value = fields.partition(": ")
    context.head = decode_head(status, CIMultiDictProxy(CIMultiDict({name: value})))


@then("its runner is {state} and asks for {backoff_ms:d} ms of backoff")
def check_head(context, state, backoff_ms):
    assert context.head.is_draining == (state == "draining"), context.head
    assert context.head.retry_after_ms == backoff_ms, context.head


@given("a fleet of {nodes:d} nodes and {runners:d} runners that know of one another")
def given_acquainted(context, nodes, runners):
    start_acquainted(context, EdgeFleet(nodes=nodes, runners=runners))


@given(
    'a fleet of {nodes:d} nodes in "{one}" and "{two}" and {runners:d} runners '
    "that know of one another"
)
def given_zoned(context, nodes, one, two, runners):
    fleet = EdgeFleet(nodes=nodes, runners=runners, node_zones=(one, two))
    start_acquainted(context, fleet)


def start_acquainted(context, fleet):
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    context.run(wait_until(lambda: all(knows_all(fleet, n) for n in fleet.nodes), 3))


def knows_all(fleet, node):
    is_met = len(node.state.membership.alive()) == len(fleet.nodes)
    return is_met and len(node.state.table.entries()) == len(fleet.runners)


@when('runner {number:d} answers each call as "{act}"')
def answer_as(context, number, act):
    runner(context, number).usual = Act(act)


@when("{most:d} calls come where runner {number:d} has no home until it has answered")
def come_elsewhere(context, most, number):
    nodes = context.fleet.nodes
    home = nodes[0].state.region_homes.home_of(runner(context, number).runner_id)
    ids = [node.state.config.node_id for node in nodes]
    (elsewhere,) = (n for n, node_id in enumerate(ids, start=1) if node_id != home)
    come_until_met(context, most, elsewhere, number)


def knows_draining(node, runner_id):
    return node.state.table.get(runner_id).state is RunnerState.DRAINING


@then("node {node:d} knows within {limit_s:d} s that runner {number:d} drains")
def check_told(context, node, limit_s, number):
    runner_id = runner(context, number).runner_id
    told = context.fleet.nodes[node - 1]
    context.run(wait_until(lambda: knows_draining(told, runner_id), limit_s))


@then("all nodes know within {limit_s:d} s that runner {number:d} drains")
def check_all_told(context, limit_s, number):
    for node in range(1, len(context.fleet.nodes) + 1):
        check_told(context, node, limit_s, number)


@when("node {number:d} starts")
def start_node(context, number):
    context.run(context.fleet.start_node(number - 1))
