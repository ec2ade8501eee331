from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.retry_budget import RetryBudget


@given("a retry budget of a tenth with {saved:d} saved")
def given_budget(context, saved):
    context.budget = RetryBudget(ratio=0.1, max_balance=saved)


@when("{count:d} requests fail and each wants {retries:d} retries")
def fail_all(context, count, retries):
    context.allowed = 0
    for _ in range(count):
        context.budget.deposit()
        context.allowed += sum(context.budget.try_spend() for _ in range(retries))


@when("1 request in {every:d} of {count:d} fails and wants 1 retry")
def fail_some(context, every, count):
    context.allowed = []
    for number in range(count):
        context.budget.deposit()
        if number % every == 0:
            context.allowed.append(context.budget.try_spend())


@then("about {count:d} retries were allowed")
def check_about(context, count):
    assert abs(context.allowed - count) <= 2, context.allowed


@then("every retry was allowed")
def check_all(context):
    assert len(context.allowed) == 50
    assert all(context.allowed)
