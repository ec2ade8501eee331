from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.start_wait import StartWait


@given("a node that started at {now:d} ms")
def given_started(context, now):
    context.start_wait = StartWait()
    context.start_wait.begin(now_ms=now)


@when("{count:d} calls wait at {now:d} ms")
def calls_wait(context, count, now):
    for _ in range(count):
        context.start_wait.enter(now_ms=now)


@when("one of them waits no longer")
def one_leaves(context):
    context.start_wait.leave()


@then("a call at {now:d} ms may wait {wait:d} ms for the state")
def check_wait(context, now, wait):
    found = context.start_wait.enter(now_ms=now)
    context.start_wait.leave()
    assert found == wait, found
