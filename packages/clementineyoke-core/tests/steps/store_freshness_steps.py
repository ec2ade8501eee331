from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.store_freshness import StoreFreshness, ViewPart


@given("a bound of {bound:d} ms on how soon a state is in force")
def given_bound(context, bound):
    context.freshness = StoreFreshness(bound_ms=bound)


@when("the store is heard at {now:d} ms")
def hear_store(context, now):
    context.freshness.confirm(ViewPart.STATE, now_ms=now)


@when("a peer tells at {now:d} ms that it heard the store {age:d} ms ago")
def hear_peer(context, now, age):
    context.freshness.confirm(ViewPart.STATE, now_ms=now, age_ms=age)


@then("the view is stale at {now:d} ms")
def check_stale(context, now):
    assert context.freshness.is_stale(ViewPart.STATE, now_ms=now)


@then("the view is not stale at {now:d} ms")
def check_fresh(context, now):
    assert not context.freshness.is_stale(ViewPart.STATE, now_ms=now)


@then("at {now:d} ms it tells others that it is {age:d} ms old")
def check_age(context, now, age):
    assert context.freshness.ages(now_ms=now).state_ms == age
