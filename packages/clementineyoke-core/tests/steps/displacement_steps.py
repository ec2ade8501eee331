from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.displacement import DEAR_SHARE, load_share
from clementineyoke_core.load_bound import LoadBound, bound_by_home

SLOTS = 128
SLACK_SLOTS = 3


def bound(context, tokens):
    return bound_by_home(
        estimated_mean=context.mean,
        seen_mean=0.0,
        slots=SLOTS,
        load_bound=LoadBound(context.cap * load_share(tokens), SLACK_SLOTS),
    )


@given("a runner with a mean load of {mean:d} under a cap of {cap:d} times it")
def given_runner(context, mean, cap):
    context.mean, context.cap = mean, cap


@when("calls of {tokens:d} tokens come until one is turned away")
def fill(context, tokens):
    context.held = bound(context, tokens)


@then("there is room for {count:d} calls of {tokens:d} tokens")
def check_room(context, count, tokens):
    assert bound(context, tokens) - context.held >= count, context.held


@then("the runner holds at most {factor:d} times the mean, and {slack:d} more")
def check_cap(context, factor, slack):
    assert bound(context, 1_000_000) <= factor * context.mean + slack


@then("a call without a prompt may find {count:d} others there")
def check_plain(context, count):
    assert bound(context, 0) == count + 1


@then("the shares of the cap for prompts of {tokens} tokens rise")
def check_rise(context, tokens):
    numbers = [int(n) for n in tokens.replace("and", ",").split(",") if n.strip()]
    shares = [load_share(number) for number in numbers]
    assert shares == sorted(shares) and shares[-1] == DEAR_SHARE, shares
