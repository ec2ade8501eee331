from __future__ import annotations

import asyncio

from behave import then, when
from store_entries_steps import RESTARTED_MS


def routed(context, call_id):
    decisions = context.fleet.nodes[0].state.decisions.find(call_id)
    (fields,) = [d["fields"] for d in decisions if d["event"] == "routed"]
    return fields


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
