from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.cold_runner_pacer import ColdRunnerPacer
from clementineyoke_core.cold_runners import ColdRunnerLimit, ColdRunners
from clementineyoke_core.runner import Runner, RunnerKind

RUNNER = Runner("r", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "pool", 64)
PLAYED_MS = 5_000
SECOND_MS = 1_000


@given(
    "a runner that bears {calls:g} calls a second while it is cold, for {lasts:d} ms"
)
def given_cold(context, calls, lasts):
    context.cold = ColdRunners()
    context.cold.set_limits({"pool": ColdRunnerLimit(calls, lasts)})
    context.cold.record_report(RUNNER, remaining_ms=lasts, now_ms=0)
    context.asks = []
    context.words = {}


@given("it is warm")
def given_warm(context):
    context.cold.record_report(RUNNER, remaining_ms=0, now_ms=0)


@when("{rate:d} calls a second ask its home for it")
def ask_one(context, rate):
    context.homes, context.rate = 1, rate


@when("{rate:d} calls a second ask each of two homes for it")
def ask_two(context, rate):
    context.homes, context.rate = 2, rate


@when("after {at:d} ms it says that it is cold for {left:d} ms")
def say_cold(context, at, left):
    context.words[at] = left


@when("it says that it is cold for {left:d} ms")
def say_now(context, left):
    context.cold.record_report(RUNNER, remaining_ms=left, now_ms=0)


@when("its zone returns")
def return_zone(context):
    context.cold.assume_cold(RUNNER, now_ms=0)


def play(context):
    """Return when calls were granted, with as many asks as there are."""
    paces = [ColdRunnerPacer() for _ in range(context.homes)]
    granted = []
    for now_ms in range(0, PLAYED_MS, SECOND_MS // context.rate):
        if now_ms in context.words:
            left_ms = context.words[now_ms]
            context.cold.record_report(RUNNER, remaining_ms=left_ms, now_ms=now_ms)
        calls_per_s = context.cold.calls_per_s(RUNNER, now_ms=now_ms)
        for pace in paces:
            if calls_per_s is None:
                granted.append(now_ms)
            elif pace.may_grant("r", now_ms=now_ms):
                pace.record_grant("r", calls_per_s=calls_per_s, now_ms=now_ms)
                granted.append(now_ms)
    return granted


def most_in_a_second(granted, from_ms, until_ms):
    spans = [
        sum(start <= at < min(start + SECOND_MS, until_ms) for at in granted)
        for start in granted
        if from_ms <= start < until_ms
    ]
    return max(spans)


@then("no second of its first {until:d} ms has more than {most:d} grants")
def check_first(context, until, most):
    check_seconds(context, 0, until, most)


@then("no second from {start:d} ms to {until:d} ms has more than {most:d} grants")
def check_seconds(context, start, until, most):
    context.granted = play(context)
    assert 0 < most_in_a_second(context.granted, start, until) <= most


@then("afterwards calls are granted as fast as they come")
def check_after(context):
    after = [at for at in context.granted if at >= 3_000]
    assert len(after) == context.rate * (PLAYED_MS - 3_000) // SECOND_MS


@then("calls are granted as fast as they come")
def check_all(context):
    assert len(play(context)) == context.rate * PLAYED_MS // SECOND_MS


@then("it counts as cold for {lasts:d} ms")
def check_cold(context, lasts):
    assert context.cold.remaining_ms(RUNNER, now_ms=0) == lasts


@then("it counts as warm")
def check_warm(context):
    assert context.cold.remaining_ms(RUNNER, now_ms=0) == 0
