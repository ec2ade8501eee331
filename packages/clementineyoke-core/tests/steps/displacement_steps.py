from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.load_cap_share import (
    LONG_PROMPT_CAP_SHARE,
    load_cap_share,
)
from clementineyoke_core.load_bound import LoadBound, compute_home_bound

SLOTS = 128
SLACK_SLOTS = 3


def bound(context, tokens):
    return compute_home_bound(
        estimated_mean=context.mean,
        seen_mean=0.0,
        slots=SLOTS,
        load_bound=LoadBound(context.cap * load_cap_share(tokens), SLACK_SLOTS),
    )


@given("a runner with a mean load of {mean:d} and a load cap of {cap:d} times the mean")
def given_runner(context, mean, cap):
    context.mean, context.cap = mean, cap


@when("calls of {tokens:d} tokens arrive until one is rejected")
def fill(context, tokens):
    context.held = bound(context, tokens)


@then("there is room for {count:d} calls of {tokens:d} tokens")
def check_room(context, count, tokens):
    assert bound(context, tokens) - context.held >= count, context.held


@then("the runner has at most {factor:d} times the mean, and {slack:d} more")
def check_cap(context, factor, slack):
    assert bound(context, 1_000_000) <= factor * context.mean + slack


@then("a call without a prompt is accepted while {count:d} others are there")
def check_plain(context, count):
    assert bound(context, 0) == count + 1


@then("the shares of the cap for prompts of {tokens} tokens rise")
def check_rise(context, tokens):
    numbers = [int(n) for n in tokens.replace("and", ",").split(",") if n.strip()]
    shares = [load_cap_share(number) for number in numbers]
    assert shares == sorted(shares) and shares[-1] == LONG_PROMPT_CAP_SHARE, shares


RUNNERS = 3
RUNNER_SLOTS = 6
MEAN_WORK_MS = 60.0
CALLS_PER_MS = 0.26
SURGE_MS = 2_400.0
MEAN_LOAD = 6.0


def simulate_surge(queue_share):
    """Return the sorted waits of accepted calls and the number of refused calls."""
    rng = Random(1)
    load_bound = LoadBound(2.0 * load_cap_share(0), SLACK_SLOTS, queue_share)
    max_load = compute_home_bound(
        estimated_mean=MEAN_LOAD,
        seen_mean=0.0,
        slots=RUNNER_SLOTS,
        load_bound=load_bound,
    )
    ends = [[] for _ in range(RUNNERS)]
    waits = []
    refused = 0
    now = 0.0
    while now < SURGE_MS:
        now += rng.expovariate(CALLS_PER_MS)
        order = rng.sample(range(RUNNERS), RUNNERS)
        for runner in order:
            held = [end for end in ends[runner] if end > now]
            if len(held) < max_load:
                begins = max([now, *sorted(held)[-RUNNER_SLOTS:][:1]])
                begins = now if len(held) < RUNNER_SLOTS else begins
                ends[runner] = [*held, begins + MEAN_WORK_MS * rng.uniform(0.5, 1.5)]
                waits.append(begins - now)
                break
        else:
            refused += 1
    return sorted(waits), refused


@when("such a surge meets runners that get no more calls than they have slots")
def surge_without_queues(context):
    context.waits, context.refused = simulate_surge(0.0)


@when("it meets runners that may have as many calls again in their queues")
def surge_with_queues(context):
    context.waits, context.refused = simulate_surge(1.0)


def refused_share(context):
    return context.refused / (context.refused + len(context.waits))


@then("more than {share:d} in 100 calls find no room")
def check_more(context, share):
    assert refused_share(context) > share / 100, refused_share(context)


@then("fewer than {share:d} in 100 calls find no room")
def check_fewer(context, share):
    assert refused_share(context) < share / 100, refused_share(context)


@then("95 in 100 calls wait less than {limit:d} ms")
def check_waits(context, limit):
    assert context.waits[int(0.95 * len(context.waits))] < limit, context.waits[-9:]
