from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.team_budget import TeamBudget
from clementineyoke_core.team_budget_share import TeamBudgetShare


@given("a team's budget of {rate:d} requests a second with a burst of {burst:d}")
def given_bucket(context, rate, burst):
    context.budget = TeamBudget(rate_per_s=rate, burst=burst, now_ms=0)


@when("{count:d} nodes each offer {rate:d} requests a second for {seconds:d} seconds")
def offer(context, count, rate, seconds):
    purses = [TeamBudgetShare() for _ in range(count)]
    context.allowed = 0
    for number in range(rate * seconds):
        now_ms = 1 + number * 1000 / rate
        for purse in purses:
            context.allowed += spend(purse, context.budget, now_ms)


def spend(purse, budget, now_ms):
    if purse.try_spend(now_ms=now_ms):
        return True
    wanted = purse.tokens_to_request(now_ms=now_ms)
    grant = budget.grant(wanted, now_ms=now_ms)
    purse.add_tokens(grant.tokens, now_ms=now_ms)
    return purse.try_spend(now_ms=now_ms)


@then("the nodes let through {count:d} requests, give or take {percent:d} percent")
def check_allowed(context, count, percent):
    off = abs(context.allowed - count) / count
    assert off <= percent / 100, context.allowed


@given("a purse with {tokens:d} tokens")
def given_purse(context, tokens):
    context.purse = TeamBudgetShare()
    context.purse.add_tokens(tokens, now_ms=0)
    assert context.purse.try_spend(now_ms=1)


@when("{count:d} nodes each send 2 requests a second for {seconds:d} seconds")
def send_few(context, count, seconds):
    purses = [TeamBudgetShare() for _ in range(count)]
    context.asks = context.sent = 0
    for number in range(2 * seconds):
        now_ms = 1 + number * 500
        for purse in purses:
            context.sent += 1
            if not purse.try_spend(now_ms=now_ms):
                context.asks += 1
                wanted = purse.tokens_to_request(now_ms=now_ms)
                grant = context.budget.grant(wanted, now_ms=now_ms)
                purse.add_tokens(grant.tokens, now_ms=now_ms)
                assert purse.try_spend(now_ms=now_ms)


@then("the home was asked for less than a third of them")
def check_asks(context):
    assert context.asks * 3 < context.sent, (context.asks, context.sent)


@when("{elapsed_ms:d} ms pass")
def pass_time(context, elapsed_ms):
    context.now_ms = elapsed_ms


@then("the purse has nothing to spend")
def check_purse(context):
    assert not context.purse.try_spend(now_ms=context.now_ms)


@when("the clock steps back by {step_ms:d} ms after the burst is spent")
def step_back(context, step_ms):
    while context.budget.grant(1, now_ms=5_000).tokens:
        pass
    context.now_ms = 5_000 - step_ms


@then("the bucket has nothing to give")
def check_bucket(context):
    assert context.budget.grant(1, now_ms=context.now_ms).tokens == 0
