from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable

RUNNER = Runner("engine-1", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "m", 8)


@given("a listed runner")
def given_runner(context):
    context.runners = RunnerTable()
    context.runners.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)
    assert context.runners.is_ready("engine-1")


@when("the runner reports that it is draining")
def report_draining(context):
    context.runners.record_draining("engine-1", now_ms=0)


@when("a probe reports that it is ready")
def probe_ready(context):
    context.runners.record_probe("engine-1", ready=True, now_ms=1)


@when("{count:d} exchanges in a row fail before they begin")
def fail(context, count):
    for _ in range(count):
        context.runners.quarantine("engine-1", now_ms=0)


@when("the list shows the runner live again")
def list_again(context):
    context.runners.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)


@when("the list shows the runner live after {now_ms:d} ms")
def list_later(context, now_ms):
    context.runners.apply_host_list(live=[RUNNER], leaving=[], now_ms=now_ms)


@then("the runner is ready again")
def check_back(context):
    assert context.runners.is_ready("engine-1")


@then("the runner gets no new work")
def check_no_work(context):
    assert not context.runners.is_ready("engine-1")


@then("the runner is probed only after {quarantine_ms:d} ms")
def check_quarantine(context, quarantine_ms):
    assert context.runners.due_for_probe(now_ms=quarantine_ms - 1) == []
    assert context.runners.due_for_probe(now_ms=quarantine_ms) == [RUNNER]


@then("a successful probe makes it ready again")
def check_ready(context):
    context.runners.record_probe("engine-1", ready=True, now_ms=9_000)
    assert context.runners.is_ready("engine-1")
