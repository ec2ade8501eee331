from __future__ import annotations

from behave import given, then, when

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
