from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.cold_runner_pacer import ColdRunnerPacer
from clementineyoke_core.cold_runners import ColdRunnerLimit, ColdRunners
from clementineyoke_core.runner import Runner, RunnerKind

RUNNER = Runner("r", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "pool", 64)
RUN_MS = 5_000
SECOND_MS = 1_000


@given(
    "a runner that takes {calls_per_s:g} calls a second while it is cold, "
    "for {duration_ms:d} ms"
)
def given_cold(context, calls_per_s, duration_ms):
    context.cold = ColdRunners()
    context.cold.set_limits({"pool": ColdRunnerLimit(calls_per_s, duration_ms)})
    context.cold.record_report(RUNNER, remaining_ms=duration_ms, now_ms=0)
    context.asks = []
    context.reports = {}


@given("it is warm")
def given_warm(context):
    context.cold.record_report(RUNNER, remaining_ms=0, now_ms=0)


@when("{rate:d} calls a second request slots on it at its home")
def request_at_one(context, rate):
    context.homes, context.rate = 1, rate


@when("{rate:d} calls a second request slots on it at each of two homes")
def request_at_two(context, rate):
    context.homes, context.rate = 2, rate


@when("after {at_ms:d} ms it reports that it is cold for {remaining_ms:d} ms")
def schedule_report(context, at_ms, remaining_ms):
    context.reports[at_ms] = remaining_ms


@when("it reports that it is cold for {remaining_ms:d} ms")
def report_now(context, remaining_ms):
    context.cold.record_report(RUNNER, remaining_ms=remaining_ms, now_ms=0)


@when("its zone returns")
def return_zone(context):
    context.cold.assume_cold(RUNNER, now_ms=0)


def run_load(context):
    """Return the times of the grants when slots are requested at the given rate."""
    pacers = [ColdRunnerPacer() for _ in range(context.homes)]
    granted = []
    for now_ms in range(0, RUN_MS, SECOND_MS // context.rate):
        if now_ms in context.reports:
            remaining_ms = context.reports[now_ms]
            context.cold.record_report(RUNNER, remaining_ms=remaining_ms, now_ms=now_ms)
        calls_per_s = context.cold.calls_per_s(RUNNER, now_ms=now_ms)
        for pacer in pacers:
            if calls_per_s is None:
                granted.append(now_ms)
            elif pacer.may_grant("r", now_ms=now_ms):
                pacer.record_grant("r", calls_per_s=calls_per_s, now_ms=now_ms)
                granted.append(now_ms)
    return granted


def max_per_second(granted, from_ms, until_ms):
    counts = [
        sum(start <= at < min(start + SECOND_MS, until_ms) for at in granted)
        for start in granted
        if from_ms <= start < until_ms
    ]
    return max(counts)


@then("no second of its first {until_ms:d} ms has more than {max_grants:d} grants")
def check_first(context, until_ms, max_grants):
    check_seconds(context, 0, until_ms, max_grants)


@then(
    "no second from {start_ms:d} ms to {until_ms:d} ms "
    "has more than {max_grants:d} grants"
)
def check_seconds(context, start_ms, until_ms, max_grants):
    context.granted = run_load(context)
    assert 0 < max_per_second(context.granted, start_ms, until_ms) <= max_grants


@then("after that all calls are granted")
def check_after(context):
    after = [at for at in context.granted if at >= 3_000]
    assert len(after) == context.rate * (RUN_MS - 3_000) // SECOND_MS


@then("all calls are granted")
def check_all(context):
    assert len(run_load(context)) == context.rate * RUN_MS // SECOND_MS


@then("it counts as cold for {duration_ms:d} ms")
def check_cold(context, duration_ms):
    assert context.cold.remaining_ms(RUNNER, now_ms=0) == duration_ms


@then("it counts as warm")
def check_warm(context):
    assert context.cold.remaining_ms(RUNNER, now_ms=0) == 0
