from __future__ import annotations

from behave import given, then, when
from capacity_engines import (
    ASKING,
    POOL,
    RUNNER,
    FakeEngines,
    ask,
    make_holder,
    make_request,
    own_tokens,
    shared_tokens,
)

from clementineyoke_core.capacity.prefill_backlog import PrefillBacklog
from clementineyoke_core.grants.call_profile import UNDESCRIBED
from clementineyoke_core.grants.refusal_reason import RefusalReason

NOW_MS = 1_000_000.0
LONG_AGO_MS = 500_000.0
WAITING = 500
"""Number of the call that brought the tokens that wait."""


@given("an engine that processes {rate:d} prompt tokens per ms")
def given_engine(context, rate):
    context.engines = FakeEngines(memory_tokens=10_000)
    context.rates = {POOL: float(rate)}
    context.rule = PrefillBacklog(
        engines=context.engines, tokens_per_ms=context.rates.get
    )
    # The home has had the engine for long enough to know its cache.
    grant(context, make_request(0, own_tokens(1), now_ms=LONG_AGO_MS))
    context.rule.record_release(RUNNER, make_holder(0))


@given("the rate of the engine is unknown")
def given_unknown_rate(context):
    context.rates.clear()


def grant(context, request):
    context.rule.record_grant(request)


@given("{tokens:d} tokens wait on the engine")
def given_backlog(context, tokens):
    # The least urgent priority, so that its objective protects no other call.
    request = make_request(WAITING, own_tokens(tokens), now_ms=NOW_MS, priority=9)
    grant(context, request)


@given(
    "a call of priority {priority:d} with an objective of {objective:d} ms got a slot "
    "{ago:d} ms ago"
)
def given_objective(context, priority, objective, ago):
    grant(
        context,
        make_request(
            1,
            own_tokens(0),
            now_ms=NOW_MS - ago,
            priority=priority,
            objective_ms=objective,
        ),
    )


@given("a call with {tokens:d} shared tokens got a slot on the engine {ago:d} ms ago")
def given_cached(context, tokens, ago):
    grant(context, make_request(1, shared_tokens(7, tokens), now_ms=NOW_MS - ago))


@given(
    "the home has just taken over the engine, which is {place} in the order of a prompt"
)
def given_new_home(context, place):
    context.rule.remove_runner(RUNNER)
    grant(context, make_request(2, own_tokens(1), now_ms=NOW_MS))
    context.engines.is_first_in_order = place == "first"


@when(
    "a call with {own:d} own tokens and an objective of {objective:d} ms asks for a "
    "slot {how}"
)
def ask_own(context, own, objective, how):
    ask(
        context,
        make_request(
            ASKING, own_tokens(own), now_ms=NOW_MS, objective_ms=objective, how=how
        ),
    )


@when(
    "a call of priority {priority:d} with {own:d} own tokens and an objective of "
    "{objective:d} ms asks for a slot"
)
def ask_by_priority(context, priority, own, objective):
    ask(
        context,
        make_request(
            ASKING,
            own_tokens(own),
            now_ms=NOW_MS,
            priority=priority,
            objective_ms=objective,
        ),
    )


@when("an undescribed call asks for a slot on it")
def ask_undescribed(context):
    request = make_request(ASKING, own_tokens(0), now_ms=NOW_MS)
    ask(context, request._replace(profile=UNDESCRIBED))


@when(
    "a call with the same {shared:d} shared tokens and {own:d} own ones asks for a slot"
)
def ask_shared(context, shared, own):
    context.prompt = shared_tokens(7, shared, own)
    context.request = make_request(ASKING, context.prompt, now_ms=NOW_MS)
    context.added = context.rule.added_tokens(context.request)
    context.reason = context.rule.check(context.request)


@then("it is granted and adds {tokens:d} tokens")
def check_granted(context, tokens):
    assert context.reason is None, context.reason
    assert context.added == tokens, context.added


@then("a call with {shared:d} other shared tokens is refused for prefill")
def check_other(context, shared):
    request = make_request(ASKING, shared_tokens(8, shared), now_ms=NOW_MS)
    assert context.rule.check(request) is RefusalReason.PREFILL


@when("the call that brought them ends")
def end_call(context):
    context.rule.record_release(RUNNER, make_holder(WAITING))


@when("the engine starts again")
def start_again(context):
    context.engines.lifetime = "lifetime-2"
    # Shared parts would be taken as present on an engine whose cache is unknown.
    context.engines.is_first_in_order = True
    context.rule.remove_runner(RUNNER)


@then("a call with the same shared tokens adds all of them")
def check_adds_all(context):
    request = make_request(ASKING, shared_tokens(7, 3_000, 500), now_ms=NOW_MS)
    assert context.rule.added_tokens(request) == 3_500


@when(
    "a call with {shared:d} shared tokens and {own:d} own ones asks for a slot "
    "{later:d} ms later"
)
def ask_later(context, shared, own, later):
    request = make_request(ASKING, shared_tokens(7, shared, own), now_ms=NOW_MS + later)
    context.added = context.rule.added_tokens(request)
    context.measurable = context.rule.measurable_tokens(request)


@then("the rate may be learned from {tokens:d} tokens")
def check_measurable(context, tokens):
    assert context.measurable == tokens, context.measurable


@then("the call adds {tokens:d} tokens")
def check_added(context, tokens):
    assert context.added == tokens, context.added


@then("{tokens:d} tokens wait on it {later:d} ms later")
def check_waiting(context, tokens, later):
    waiting = context.rule.backlog_tokens(RUNNER, now_ms=NOW_MS + later)
    assert waiting == tokens, waiting


@when(
    "{count:d} calls with different {shared:d} shared tokens get slots on the engine "
    "of {memory:d} tokens"
)
def grant_different(context, count, shared, memory):
    assert context.engines.memory_tokens == memory
    for key in range(count):
        grant(context, make_request(key, shared_tokens(key + 1, shared), now_ms=NOW_MS))


@then("the first prompt counts as evicted and the last as cached")
def check_evicted(context):
    added = [
        context.rule.added_tokens(
            make_request(ASKING, shared_tokens(key, 3_000), now_ms=NOW_MS)
        )
        for key in (1, 4)
    ]
    assert added == [3_000, 0], added
