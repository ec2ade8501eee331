from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.store_freshness import StoreFreshness, ViewPart


@given("a bound of {bound:d} ms on how soon a state is in force")
def given_bound(context, bound):
    context.freshness = StoreFreshness(bound_ms=bound)


@when("the store answers at {now:d} ms")
def store_answers(context, now):
    context.freshness.confirm(ViewPart.STATE, now_ms=now)


@when("a peer reports at {now:d} ms that the store answered it {age:d} ms ago")
def peer_reports(context, now, age):
    context.freshness.confirm(ViewPart.STATE, now_ms=now, age_ms=age)


@then("the view is stale at {now:d} ms")
def check_stale(context, now):
    assert context.freshness.is_stale(ViewPart.STATE, now_ms=now)


@then("the view is not stale at {now:d} ms")
def check_fresh(context, now):
    assert not context.freshness.is_stale(ViewPart.STATE, now_ms=now)


@then("at {now:d} ms it reports an age of {age:d} ms")
def check_age(context, now, age):
    assert context.freshness.ages(now_ms=now).state_ms == age
