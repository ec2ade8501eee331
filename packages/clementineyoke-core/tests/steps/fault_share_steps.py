from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.fault_rate_breaker import MIN_PAUSE_MS, FaultRateBreaker

RUNNER = "runner"


@given("a home that grants {rate:d} calls a second on a runner")
def given_home(context, rate):
    context.breaker = FaultRateBreaker()
    context.step_ms = 1000.0 / rate
    context.paused_at_ms = []


@when("{faulty:d} calls in 10 fail from {start_ms:d} ms on")
@when("{faulty:d} call in 10 fails from {start_ms:d} ms on")
def run_calls(context, faulty, start_ms):
    context.faulty = faulty
    call_runner(context, since_ms=0.0, until_ms=30_000.0, fails_from_ms=start_ms)


def call_runner(context, *, since_ms, until_ms, fails_from_ms):
    """Grant calls at an even rate while the runner is not paused."""
    breaker = context.breaker
    now_ms = since_ms
    number = 0
    while now_ms < until_ms:
        if not breaker.is_paused(RUNNER, now_ms=now_ms):
            breaker.record_call(RUNNER, now_ms=now_ms)
            fails = now_ms >= fails_from_ms and number % 10 < context.faulty
            if fails and breaker.record_fault(RUNNER, now_ms=now_ms):
                context.paused_at_ms.append(now_ms)
        number += 1
        now_ms += context.step_ms


@then("the runner is paused before {ms:d} ms")
def check_paused(context, ms):
    assert context.paused_at_ms and context.paused_at_ms[0] < ms, context.paused_at_ms


@then("the runner is not paused within {ms:d} ms")
def check_not_paused(context, ms):
    assert not [at_ms for at_ms in context.paused_at_ms if at_ms < ms], (
        context.paused_at_ms
    )


def pause_length_ms(breaker, from_ms):
    now_ms = from_ms
    while breaker.is_paused(RUNNER, now_ms=now_ms):
        now_ms += 50.0
    return now_ms - from_ms


@then("after {ms:d} ms a pause is longer than the first one")
def check_longer(context, ms):
    gaps = [
        b - a
        for a, b in zip(context.paused_at_ms, context.paused_at_ms[1:], strict=False)
    ]
    late = [gap for gap, at in zip(gaps, context.paused_at_ms, strict=False) if at > ms]
    assert late and min(late) > gaps[0], gaps


@then("after {ms:d} ms without failures a pause is as short as the first one")
def check_short_again(context, ms):
    start_ms = context.paused_at_ms[-1] + ms
    context.faulty = 10
    context.paused_at_ms.clear()
    call_runner(
        context, since_ms=start_ms, until_ms=start_ms + 700.0, fails_from_ms=start_ms
    )
    assert pause_length_ms(context.breaker, context.paused_at_ms[0]) <= MIN_PAUSE_MS
