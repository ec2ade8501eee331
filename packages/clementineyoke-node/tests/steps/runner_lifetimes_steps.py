from __future__ import annotations

import asyncio

from behave import given, then, when
from edge_fleet import POOL
from edge_steps import wait_until
from loguru import logger
from store_entries_steps import RESTARTED_MS, restart_runner

from clementineyoke_node.edge.runner_liveness import PROBE_DELAY_MS
from clementineyoke_standins.edge.edge_runner import CrashManner
from clementineyoke_wire.events import Event

BROKEN_ID = "broken"
EVENT_PAUSE_S = 0.3
MAX_CALLS = 40


def decided(context, call_id, event):
    """Return the fields of the decisions of one kind on a call."""
    decisions = context.fleet.nodes[0].state.decisions.find(call_id)
    return [d["fields"] for d in decisions if d["event"] == event]


def routed(context, call_id):
    (fields,) = decided(context, call_id, "routed")
    return fields


def collect_log(context):
    """Collect the fields of all log lines from now on."""
    context.logged = []
    sink = logger.add(lambda line: context.logged.append(line.record["extra"]))
    context.add_cleanup(logger.remove, sink)


def logged(context, event):
    return [line for line in context.logged if line["event"] == event.value.number]


@when("{pause_ms:d} ms pass")
def wait(context, pause_ms):
    context.run(asyncio.sleep(pause_ms / 1_000))


@then('the decisions on "{first}" and "{second}" name the new lifetime')
def check_lifetimes(context, first, second):
    for call_id in (first, second):
        assert routed(context, call_id)["runner_born_ms"] == RESTARTED_MS


@then(
    "the list of runners is at least {least_ms:d} ms older in the decision on "
    '"{call_id}"'
)
def check_list_age(context, least_ms, call_id):
    age_ms = routed(context, call_id)["runners_age_ms"]
    before_ms = routed(context, "before")["runners_age_ms"]
    assert age_ms >= before_ms + least_ms, (before_ms, age_ms)


@when('runner {number:d} restarts under its id at version "{version}"')
def restart_at_version(context, number, version):
    collect_log(context)
    context.fleet.runners[number].version = version
    restart_runner(context, number)


@then("the log tells once that runner 0 was replaced, with both starts and versions")
def check_replaced(context):
    (line,) = logged(context, Event.RUNNER_REPLACED)
    assert line["runner"] == context.fleet.runners[0].runner_id, line
    assert (line["former_born_ms"], line["born_ms"]) == (0, RESTARTED_MS), line
    assert (line["former_version"], line["version"]) == ("v1", "v2"), line


@given("the runners frame no streams and close connections in order when they crash")
def end_streams_with_connections(context):
    for runner in context.fleet.runners:
        runner.frames_streams = False
        runner.crash_manner = CrashManner.CLOSE
        runner.event_pause_s = EVENT_PAUSE_S


@when("a caller's stream breaks with its runner, which {does_what}")
def break_stream(context, does_what):
    async def act():
        (runner,) = context.fleet.runners
        call = asyncio.create_task(context.fleet.call("streaming", call_id=BROKEN_ID))
        await wait_until(lambda: runner.calls, 2)
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        runner.crash()
        if does_what == "is back at once":
            await runner.start()
        await asyncio.wait({call})
        call.exception()

    context.run(act())


@then("the decisions on it say that it was {result} when it had part of 6 events")
def check_end_decision(context, result):
    (checked,) = decided(context, BROKEN_ID, "end_checked")
    assert checked["is_whole"] is (result == "whole"), checked
    assert bool(checked["reason"]) is not checked["is_whole"], checked
    assert 0 < checked["last_event"] < 6, checked
    assert checked["age_ms"] >= PROBE_DELAY_MS, checked
    assert not checked["has_open_connection"], checked


@then("1 end by connection is counted as {result}")
def check_end_count(context, result):
    metrics = context.fleet.nodes[0].state.metrics
    labels = {"pool": POOL, "result": result}
    assert metrics.ends_by_connection.get(labels) == 1, metrics.ends_by_connection


@when("another runner takes the address of runner 0, and calls arrive until it is met")
def meet_another_runner(context):
    async def act():
        other = context.fleet.runners[0]
        other.runner_id = "another-runner"
        context.answers = {}
        while not other.misdirected_calls:
            assert len(context.answers) < MAX_CALLS, "no call met the runner"
            call_id = f"call-{len(context.answers)}"
            answer = await context.fleet.call("idempotent", call_id=call_id)
            context.answers[call_id] = answer

    context.run(act())


@then("all calls are answered by runner 1")
def check_answered(context):
    assert [status for status, _, _ in context.answers.values()] == [200] * len(
        context.answers
    )
    other, runner = context.fleet.runners
    assert not other.calls
    assert len(runner.calls) == len(context.answers)


@then("the refused ones are counted as misdirected, and logged as refused with 421")
def check_misdirected(context):
    refused = context.fleet.runners[0].misdirected_calls
    metrics = context.fleet.nodes[0].state.metrics
    assert metrics.calls_misdirected.get({"pool": POOL}) == len(refused)
    for call in refused:
        (failed,) = decided(context, call.call_id, "runner_failed")
        assert failed["reason"] == "refused with 421", failed
