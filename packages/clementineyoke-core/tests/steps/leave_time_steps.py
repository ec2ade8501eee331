from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.leave_time import LeaveTime

ROUTE = "route"
BUDGET_MS = 10_000.0


@given('a node that answered calls after "{times}" ms')
def given_answers(context, times):
    context.leave_time, context.now_ms = LeaveTime(), 0.0
    for took_ms in map(float, times.split(", ")):
        call_time = context.leave_time.begin_call(ROUTE, now_ms=0.0)
        call_time.end(is_answered=True, now_ms=took_ms)


@given("a call has been under way for {age_ms:d} ms")
def given_under_way(context, age_ms):
    context.leave_time.begin_call(ROUTE, now_ms=context.now_ms)
    pass_time(context, age_ms)


@given("{passed_ms:d} ms have passed")
def pass_time(context, passed_ms):
    context.now_ms += passed_ms


@when("it has to end in {left_ms:d} ms")
def begin_leaving(context, left_ms):
    assert find_shortage(context, after_ms=0) is None
    context.leave_time.begin_leaving(end_ms=context.now_ms + left_ms)


def find_shortage(context, *, after_ms):
    now_ms = context.now_ms + after_ms
    return context.leave_time.shortage(
        ROUTE, deadline_ms=now_ms + BUDGET_MS, now_ms=now_ms
    )


@then("a call after {after_ms:d} ms is taken")
def check_taken(context, after_ms):
    shortage = find_shortage(context, after_ms=after_ms)
    assert shortage is None, shortage


@then(
    "a call after {after_ms:d} ms is refused, as it takes {needed_ms:d} ms of"
    " {left_ms:d} ms left"
)
def check_refused(context, after_ms, needed_ms, left_ms):
    shortage = find_shortage(context, after_ms=after_ms)
    assert shortage is not None
    assert shortage[:2] == (needed_ms, left_ms), shortage
