from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.startup_wait import StartupWait


@given("a node that started at {now:d} ms")
def given_started(context, now):
    context.startup_wait = StartupWait()
    context.startup_wait.record_start(now_ms=now)


@when("{count:d} calls wait at {now:d} ms")
def calls_wait(context, count, now):
    for _ in range(count):
        context.startup_wait.begin_wait(now_ms=now)


@when("one of them stops waiting")
def one_stops_waiting(context):
    context.startup_wait.end_wait()


@then("a call at {now:d} ms may wait {wait:d} ms for the state")
def check_wait(context, now, wait):
    wait_ms = context.startup_wait.begin_wait(now_ms=now)
    context.startup_wait.end_wait()
    assert wait_ms == wait, wait_ms
