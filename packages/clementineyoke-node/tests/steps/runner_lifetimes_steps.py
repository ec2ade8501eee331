from __future__ import annotations

import asyncio

from behave import then, when
from loguru import logger
from store_entries_steps import RESTARTED_MS, restart_runner

from clementineyoke_wire.events import Event


def routed(context, call_id):
    decisions = context.fleet.nodes[0].state.decisions.find(call_id)
    (fields,) = [d["fields"] for d in decisions if d["event"] == "routed"]
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
