from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.team_budget import TeamBudget
from clementineyoke_core.team_budget_share import TeamBudgetShare


@given("a team's budget of {rate:d} requests a second with a burst of {burst:d}")
def given_budget(context, rate, burst):
    context.budget = TeamBudget(rate_per_s=rate, burst=burst, now_ms=0)


@when("{count:d} nodes each offer {rate:d} requests a second for {seconds:d} seconds")
def offer(context, count, rate, seconds):
    shares = [TeamBudgetShare() for _ in range(count)]
    context.allowed = 0
    for number in range(rate * seconds):
        now_ms = 1 + number * 1000 / rate
        for share in shares:
            context.allowed += spend(share, context.budget, now_ms)


def spend(share, budget, now_ms):
    if share.try_spend(now_ms=now_ms):
        return True
    wanted = share.tokens_to_request(now_ms=now_ms)
    grant = budget.grant(wanted, now_ms=now_ms)
    share.add_tokens(grant.tokens, now_ms=now_ms)
    return share.try_spend(now_ms=now_ms)


@then("the nodes admit {count:d} requests, give or take {percent:d} percent")
def check_allowed(context, count, percent):
    error = abs(context.allowed - count) / count
    assert error <= percent / 100, context.allowed


@given("a budget share with {tokens:d} tokens")
def given_share(context, tokens):
    context.share = TeamBudgetShare()
    context.share.add_tokens(tokens, now_ms=0)
    assert context.share.try_spend(now_ms=1)


@when("{count:d} nodes each send 2 requests a second for {seconds:d} seconds")
def send_few(context, count, seconds):
    shares = [TeamBudgetShare() for _ in range(count)]
    context.token_requests = context.sent = 0
    for number in range(2 * seconds):
        now_ms = 1 + number * 500
        for share in shares:
            context.sent += 1
            if not share.try_spend(now_ms=now_ms):
                context.token_requests += 1
                wanted = share.tokens_to_request(now_ms=now_ms)
                grant = context.budget.grant(wanted, now_ms=now_ms)
                share.add_tokens(grant.tokens, now_ms=now_ms)
                assert share.try_spend(now_ms=now_ms)


@then("the home was asked for tokens for less than a third of them")
def check_token_requests(context):
    assert context.token_requests * 3 < context.sent, (
        context.token_requests,
        context.sent,
    )


@when("{elapsed_ms:d} ms pass")
def pass_time(context, elapsed_ms):
    context.now_ms = elapsed_ms


@then("the share has no tokens left")
def check_share(context):
    assert not context.share.try_spend(now_ms=context.now_ms)


@when("the clock steps back by {step_ms:d} ms after the burst is spent")
def step_back(context, step_ms):
    while context.budget.grant(1, now_ms=5_000).tokens:
        pass
    context.now_ms = 5_000 - step_ms


@then("the budget has no tokens left")
def check_budget(context):
    assert context.budget.grant(1, now_ms=context.now_ms).tokens == 0
