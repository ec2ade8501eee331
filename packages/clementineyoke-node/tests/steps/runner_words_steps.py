from __future__ import annotations

from behave import given, then, when

from clementineyoke_standins.edge.edge_runner import Act


def runner(context, number):
    return context.fleet.runners[number - 1]


@given("runner {number:d} says in its answers that it leaves")
@when("runner {number:d} says in its answers that it leaves")
def say_leaving(context, number):
    runner(context, number).is_leaving = True


@given("runner {number:d} refuses all calls and asks for {rest_s:g} s of rest")
@when("runner {number:d} refuses all calls and asks for {rest_s:g} s of rest")
def ask_for_rest(context, number, rest_s):
    runner(context, number).usual = Act.REFUSE
    runner(context, number).rest_s = rest_s


@then('the decisions on "{call_id}" hold "{event}"')
def check_decisions(context, call_id, event):
    found = context.fleet.nodes[0].state.decisions.find(call_id)
    assert event in [decision["event"] for decision in found], found
