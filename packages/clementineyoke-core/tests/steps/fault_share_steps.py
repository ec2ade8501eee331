from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.fault_rate_breaker import MIN_PAUSE_MS, FaultRateBreaker

RUNNER = "runner"


@given("a home that grants {rate:d} calls a second on a runner")
def given_home(context, rate):
    context.faults = FaultRateBreaker()
    context.step_ms = 1000.0 / rate
    context.pauses = []


@when("{faulty:d} calls in 10 fail from {start:d} ms on")
@when("{faulty:d} call in 10 fails from {start:d} ms on")
def run_calls(context, faulty, start):
    context.faulty = faulty
    play(context, since_ms=0.0, until_ms=30_000.0, fails_from_ms=start)


def play(context, *, since_ms, until_ms, fails_from_ms):
    """Grant calls at an even rate while the runner is not paused."""
    faults = context.faults
    now_ms = since_ms
    number = 0
    while now_ms < until_ms:
        if not faults.is_paused(RUNNER, now_ms=now_ms):
            faults.record_call(RUNNER, now_ms=now_ms)
            fails = now_ms >= fails_from_ms and number % 10 < context.faulty
            if fails and faults.record_fault(RUNNER, now_ms=now_ms):
                context.pauses.append(now_ms)
        number += 1
        now_ms += context.step_ms


@then("the runner is paused before {ms:d} ms")
def check_paused(context, ms):
    assert context.pauses and context.pauses[0] < ms, context.pauses


@then("the runner is not paused within {ms:d} ms")
def check_not_paused(context, ms):
    assert not [at_ms for at_ms in context.pauses if at_ms < ms], context.pauses


def pause_length_ms(faults, from_ms):
    now_ms = from_ms
    while faults.is_paused(RUNNER, now_ms=now_ms):
        now_ms += 50.0
    return now_ms - from_ms


@then("after {ms:d} ms a pause lasts longer than at first")
def check_longer(context, ms):
    gaps = [b - a for a, b in zip(context.pauses, context.pauses[1:], strict=False)]
    late = [gap for gap, at in zip(gaps, context.pauses, strict=False) if at > ms]
    assert late and min(late) > gaps[0], gaps


@then("after {ms:d} ms without failures a pause is as short as at first")
def check_short_again(context, ms):
    start = context.pauses[-1] + ms
    context.faulty = 10
    context.pauses.clear()
    play(context, since_ms=start, until_ms=start + 700.0, fails_from_ms=start)
    assert pause_length_ms(context.faults, context.pauses[0]) <= MIN_PAUSE_MS
