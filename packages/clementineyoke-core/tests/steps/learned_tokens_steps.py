from __future__ import annotations

import math
from collections import deque
from random import Random

from behave import given, then, when
from capacity_engines import POOL
from hypothesis import given as given_any, settings, strategies as st

from clementineyoke_core.capacity.expected_outputs import (
    MAX_CALLS,
    MAX_ROUTES,
    MIN_CALLS,
    QUANTILE,
    ExpectedOutputs,
)
from clementineyoke_core.capacity.fleet_prefill_rates import FleetPrefillRates
from clementineyoke_core.capacity.prefill_rates import PrefillRates
from clementineyoke_core.mean_load import MeanLoadEstimator


def rates_of(context):
    if not hasattr(context, "prefill_rates"):
        context.prefill_rates = PrefillRates()
    return context.prefill_rates


def outputs_of(context):
    if not hasattr(context, "outputs"):
        context.outputs = ExpectedOutputs()
    return context.outputs


@when(
    "{count:d} calls with {tokens:d} tokens to process get their first event after "
    "{latency:d} ms"
)
def record_first_events(context, count, tokens, latency):
    for _ in range(count):
        rates_of(context).record_first_event(
            POOL, prefill_tokens=tokens, latency_ms=latency, now_ms=0.0
        )


@then("the prefill rate is unknown")
def check_unknown(context):
    assert rates_of(context).get(POOL) is None


@then("the prefill rate is {rate:g} tokens per ms")
def check_rate(context, rate):
    assert rates_of(context).get(POOL).tokens_per_ms == rate


class GossipingNode:
    """The learners of one node of a fleet."""

    def __init__(self, count):
        self.rates = PrefillRates()
        self.mean_load = MeanLoadEstimator()
        self.fleet_rates = FleetPrefillRates(
            rates=self.rates, mean_load=self.mean_load, count_nodes=lambda: count
        )


@given("{count:d} nodes that gossip")
def given_nodes(context, count):
    context.nodes = [GossipingNode(count) for _ in range(count)]


@when(
    "each has {count:d} call with {tokens:d} tokens to process and its first event "
    "after {latency:d} ms"
)
@when(
    "each has {count:d} calls with {tokens:d} tokens to process and its first event "
    "after {latency:d} ms"
)
def record_at_each(context, count, tokens, latency):
    for node in context.nodes:
        record_at(node, count, tokens, latency)
    run_gossip(context)


@when(
    "the first node has {count:d} calls with {tokens:d} tokens and its first event "
    "after {latency:d} ms"
)
def record_at_first(context, count, tokens, latency):
    record_at(context.nodes[0], count, tokens, latency)
    run_gossip(context)


def record_at(node, count, tokens, latency):
    for _ in range(count):
        node.rates.record_first_event(
            POOL, prefill_tokens=tokens, latency_ms=latency, now_ms=0.0
        )


def run_gossip(context):
    rng = Random(1)
    for node in context.nodes * 20:
        node.fleet_rates.update([POOL])
        peer = rng.choice([other for other in context.nodes if other is not node])
        pushed = node.mean_load.begin_round()
        node.mean_load.finish_round(pushed=pushed, replied=peer.mean_load.merge(pushed))


@then("they do not know the prefill rate")
def check_none_knows(context):
    for node in context.nodes:
        assert node.fleet_rates.tokens_per_ms(POOL) is None


@then("all know a prefill rate of {rate:d} tokens per ms")
def check_all_know(context, rate):
    for node in context.nodes:
        found = node.fleet_rates.tokens_per_ms(POOL)
        assert round(found, 6) == rate, found


@then("the first node knows a prefill rate of {rate:d} tokens per ms")
def check_first_knows(context, rate):
    found = context.nodes[0].fleet_rates.tokens_per_ms(POOL)
    assert found == rate, found


@when(
    '{count:d} calls of "{route}" with a maximum of {tokens:d} tokens are answered '
    "with {events:d} events"
)
def record_answers(context, count, route, tokens, events):
    for _ in range(count):
        outputs_of(context).record_answer(
            POOL, route, events=events, max_output_tokens=tokens
        )


@when(
    '{count:d} calls of "{route}" without a maximum are answered with {events:d} events'
)
def record_unbounded(context, count, route, events):
    record_answers(context, count, route, 0, events)


@when(
    '{count:d} calls of "{route}" with a maximum of {digits:d} digits are answered '
    "with {events:d} events"
)
def record_huge_maximum(context, count, route, digits, events):
    record_answers(context, count, route, 10 ** (digits - 1), events)


@then(
    'a call of "{route}" with a maximum of {tokens:d} tokens is expected to produce '
    "{expected:d}"
)
def check_expected(context, route, tokens, expected):
    found = outputs_of(context).expected_tokens(POOL, route, max_output_tokens=tokens)
    assert found == expected, found


@then('a call of "{route}" without a maximum is expected to produce {expected:d}')
def check_expected_unbounded(context, route, expected):
    check_expected(context, route, 0, expected)


@then("the expectation is no less than the mean for any tokens per event and outputs")
def check_conservative(context):
    @settings(derandomize=True, database=None, deadline=None)
    @given_any(
        tokens_per_event=st.integers(1, 20),
        max_tokens=st.integers(1, 400),
        shares=st.lists(st.floats(0.0, 1.0), min_size=20, max_size=60),
    )
    def check(tokens_per_event, max_tokens, shares):
        outputs = ExpectedOutputs()
        lengths = [max(1, round(share * max_tokens)) for share in shares]
        for length in lengths:
            outputs.record_answer(
                POOL,
                "route",
                events=math.ceil(length / tokens_per_event),
                max_output_tokens=max_tokens,
            )
        expected = outputs.expected_tokens(POOL, "route", max_output_tokens=max_tokens)
        assert expected >= math.floor(sum(lengths) / len(lengths))

    check()


@given("a table of outputs that is full with known routes")
def given_full_outputs(context):
    for number in range(MAX_ROUTES):
        for _ in range(MIN_CALLS):
            outputs_of(context).record_answer(
                POOL, f"route-{number}", events=3, max_output_tokens=20
            )


@when("a known route is answered once more")
def answer_known_route(context):
    outputs_of(context).record_answer(POOL, "route-0", events=3, max_output_tokens=20)


@then("the outputs of all routes in the table are still known")
def check_known_outputs(context):
    learned_tokens = {
        outputs_of(context).learned_tokens(POOL, f"route-{number}")
        for number in (0, 1, MAX_ROUTES - 1)
    }
    assert learned_tokens == {30}, learned_tokens


@then("the expectation uses the lowest bound among the routes after any answers")
def check_lowest_bound(context):
    @settings(derandomize=True, database=None, deadline=None)
    @given_any(
        batches=st.lists(
            st.tuples(
                st.sampled_from("abc"), st.integers(1, 9), st.sampled_from([1, 19, 64])
            ),
            max_size=12,
        )
    )
    def check(batches):
        outputs = ExpectedOutputs()
        bounds = {route: deque(maxlen=MAX_CALLS) for route in "abc"}
        for route, tokens, count in batches:
            for _ in range(count):
                outputs.record_answer(POOL, route, events=2, max_output_tokens=tokens)
            bounds[route].extend([tokens] * count)
        known = {
            route: sorted(tokens)[int(QUANTILE * (len(tokens) - 1))]
            for route, tokens in bounds.items()
            if len(tokens) >= MIN_CALLS
        }
        for route in bounds:
            expected = 2 * min(known.values()) if route in known else None
            assert outputs.learned_tokens(POOL, route) == expected

    check()
