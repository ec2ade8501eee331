from __future__ import annotations

from behave import given, then

from clementineyoke_core.overload.expected_work import ExpectedWork

NOW_MS = 100_000.0


def record(context, duration_ms, *, route="route", now_ms=NOW_MS):
    if "work" not in context:
        context.work = ExpectedWork()
    context.work.record_answer(route, work_ms=duration_ms, now_ms=now_ms)


def time_need(context, *, route="route", now_ms=NOW_MS):
    return context.work.time_need(route, "m", 1, now_ms=now_ms)


@given("{count:d} calls answered after {low:d} to {high:d} ms, {age_s:d} s ago")
def answer_calls(context, count, low, high, age_s):
    for n in range(count):
        duration_ms = low + (high - low) * (n % 20) / 19
        record(context, duration_ms, now_ms=NOW_MS - age_s * 1_000)


@given("{many:d} calls answered after {long:d} ms and {few:d} after {short:d} ms")
def answer_two_kinds(context, many, long, few, short):
    for duration_ms in [long] * many + [short] * few:
        record(context, duration_ms)


@given("{count:d} more calls answered after {duration_ms:d} ms")
def answer_more(context, count, duration_ms):
    for _ in range(count):
        record(context, duration_ms)


@then("the expected work is unknown")
def check_unknown(context):
    assert time_need(context) is None


@then("the expected work is low")
def check_low(context):
    need = time_need(context)
    assert 100 < need.work_ms <= 250, need
    assert need.wait_ms == 0.0, need


@then("the expected work is {work_ms:d} ms")
def check_work(context, work_ms):
    assert time_need(context).work_ms == work_ms, time_need(context)


@given("{count:d} calls that waited {wait_ms:d} ms for a slot")
def wait_for_slots(context, count, wait_ms):
    for _ in range(count):
        context.work.record_slot("m", 1, wait_ms=wait_ms, now_ms=NOW_MS)


@then("a call needs {wait_ms:d} ms more than its work")
def check_wait(context, wait_ms):
    need = time_need(context)
    assert need.total_ms == need.work_ms + wait_ms, need


@then("{pause_s:d} s later it needs its work only")
def check_wait_forgotten(context, pause_s):
    need = time_need(context, now_ms=NOW_MS + pause_s * 1_000)
    assert need.total_ms == need.work_ms, need


@given("{count:d} answers of each of {routes:d} routes")
def answer_routes(context, count, routes):
    for n in range(routes):
        for _ in range(count):
            record(context, 100.0, route=n)
    context.routes = routes


@then(
    "the expected work of the first {count:d} routes is unknown, "
    "and of all others known"
)
def check_bound(context, count):
    unknown = [n for n in range(context.routes) if time_need(context, route=n) is None]
    assert unknown == list(range(count)), len(unknown)
