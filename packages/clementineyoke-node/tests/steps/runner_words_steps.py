from __future__ import annotations

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


async def come(context, name, node):
    """Let a call come that is its own prompt, so that any runner may be its first."""
    return await context.fleet.call(
        "non_idempotent", number=node - 1, call_id=name, json={"name": name}
    )


@given("runner {number:d} says in its answers that it leaves")
@when("runner {number:d} says in its answers that it leaves")
def say_leaving(context, number):
    runner(context, number).is_leaving = True


@given("runner {number:d} refuses all calls and asks for {rest_s:g} s of rest")
@when("runner {number:d} refuses all calls and asks for {rest_s:g} s of rest")
def ask_for_rest(context, number, rest_s):
    runner(context, number).usual = Act.REFUSE
    runner(context, number).rest_s = rest_s


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
        return [await come(context, f"later-{n}", node) for n in range(count)]

    context.answers = context.run(act())


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


@then("its runner is said to be {word} and wants {rest_ms:d} ms of rest")
def check_head(context, word, rest_ms):
    assert context.head.is_leaving == (word == "leaving"), context.head
    assert context.head.rest_ms == rest_ms, context.head


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


def knows_leaving(node, runner_id):
    return node.state.table.get(runner_id).state is RunnerState.DRAINING


@then("node {node:d} knows within {limit_s:d} s that runner {number:d} leaves")
def check_told(context, node, limit_s, number):
    runner_id = runner(context, number).runner_id
    told = context.fleet.nodes[node - 1]
    context.run(wait_until(lambda: knows_leaving(told, runner_id), limit_s))


@then("all nodes know within {limit_s:d} s that runner {number:d} leaves")
def check_all_told(context, limit_s, number):
    for node in range(1, len(context.fleet.nodes) + 1):
        check_told(context, node, limit_s, number)


@when("node {number:d} starts")
def start_node(context, number):
    context.run(context.fleet.start_node(number - 1))
