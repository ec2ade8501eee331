from __future__ import annotations

from behave import given, then, when
from capacity_engines import (
    ASKING,
    RESULTS,
    RUNNER,
    FakeEngines,
    ask,
    make_holder,
    make_request,
    own_tokens,
    shared_tokens,
)
from hypothesis import given as given_any, settings, strategies as st

from clementineyoke_core.capacity.token_reservations import TokenReservations
from clementineyoke_core.grants.call_profile import UNDESCRIBED, PromptCost


@given("an engine with {tokens:d} tokens of memory")
def given_engine(context, tokens):
    context.engines = FakeEngines(memory_tokens=tokens)
    context.rule = TokenReservations(engines=context.engines)
    context.numbers = []


@given(
    "an engine with {tokens:d} tokens of memory that serves {count:d} call of "
    "{size:d} tokens"
)
@given(
    "an engine with {tokens:d} tokens of memory that serves {count:d} calls of "
    "{size:d} tokens"
)
def given_busy_engine(context, tokens, count, size):
    given_engine(context, tokens)
    for number in range(count):
        context.rule.record_grant(make_request(number, own_tokens(size)))


@when("a call of {tokens:d} tokens asks for a slot {how}")
def ask_by_size(context, tokens, how):
    ask(context, make_request(ASKING, own_tokens(tokens), how=how))


@when("that call asks for its slot again")
def ask_again(context):
    ask(context, make_request(0, own_tokens(500)))


@when("an undescribed call asks for a slot")
def ask_undescribed(context):
    request = make_request(ASKING, own_tokens(0))
    ask(context, request._replace(profile=UNDESCRIBED))


@when(
    "{count:d} calls with the same {shared:d} shared tokens and {own:d} own ones get "
    "slots"
)
def grant_shared(context, count, shared, own):
    context.numbers = list(range(count))
    for number in context.numbers:
        prompt = shared_tokens(7, shared, own)
        assert context.rule.check(make_request(number, prompt)) is None
        context.rule.record_grant(make_request(number, prompt))


@when("the engine restarts")
def restart(context):
    context.rule.remove_runner(RUNNER)


@when('a new home receives the renewals "{renewals}" of its calls')
def receive_renewals(context, renewals):
    for number, tokens in enumerate(renewals.split(",")):
        context.numbers.append(number)
        context.rule.record_renewal(RUNNER, make_holder(number), tokens=int(tokens))


@when("that call is renewed with {tokens:d} tokens and without any")
def renew(context, tokens):
    for count in (tokens, 0):
        context.rule.record_renewal(RUNNER, make_holder(0), tokens=count)


@then("its slot is {result}")
def check_result(context, result):
    assert context.reason is RESULTS[result], context.reason


@then("{tokens:d} tokens are reserved on it")
def check_reserved(context, tokens):
    assert context.rule.reserved_tokens(RUNNER) == tokens


@then("{tokens:d} tokens are reserved on it after all of them end")
def check_all_released(context, tokens):
    check_released(context, tokens, len(context.numbers))


@then("{tokens:d} tokens are reserved on it after {count:d} of them end")
def check_released(context, tokens, count):
    for number in context.numbers[:count]:
        context.rule.record_release(RUNNER, make_holder(number))
    check_reserved(context, tokens)


PROMPTS = st.builds(
    PromptCost,
    key=st.integers(1, 3),
    shared_tokens=st.integers(0, 50),
    own_tokens=st.integers(0, 50),
    output_tokens=st.integers(0, 50),
)
MESSAGES = st.lists(
    st.tuples(
        st.sampled_from(["grant", "renew", "release"]), st.integers(0, 5), PROMPTS
    )
)


def apply_message(rule, calls, kind, number, prompt):
    """Apply a message to the rule, and to a plain record of the calls."""
    if kind == "grant":
        rule.record_grant(make_request(number, prompt))
        calls[number] = prompt
    elif kind == "renew":
        tokens = prompt.total_tokens + 1
        rule.record_renewal(RUNNER, make_holder(number), tokens=tokens)
        calls.setdefault(number, PromptCost(own_tokens=tokens))
    else:
        rule.record_release(RUNNER, make_holder(number))
        calls.pop(number, None)


@then("the reservations equal the sum of the calls after any sequence of messages")
def check_sums(context):
    @settings(derandomize=True, database=None, deadline=None)
    @given_any(messages=MESSAGES)
    def check(messages):
        rule = TokenReservations(engines=FakeEngines(memory_tokens=1_000))
        calls = {}
        for message in messages:
            apply_message(rule, calls, *message)
        # A shared prompt stays as long as its longest form until its last call ends.
        private = sum(c.own_tokens + c.output_tokens for c in calls.values())
        least = sum(
            max(c.shared_tokens for c in calls.values() if c.key == key)
            for key in {c.key for c in calls.values()}
        )
        reserved = rule.reserved_tokens(RUNNER)
        assert private + least <= reserved <= private + least + 3 * 50
        for number in list(calls):
            rule.record_release(RUNNER, make_holder(number))
        assert rule.reserved_tokens(RUNNER) == 0

    check()
