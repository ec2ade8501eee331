from __future__ import annotations

from behave import then, when
from edge_steps import POOL, make_runner

NOW_MS = 1_000.0


def rest(context, name, rest_ms, now_ms):
    context.runner_table.record_rest(
        make_runner(name), rest_ms=rest_ms, now_ms=float(now_ms)
    )


@when("{name} wants {rest_ms:d} ms of rest at {now_ms:d} ms")
def want_rest(context, name, rest_ms, now_ms):
    rest(context, name, rest_ms, now_ms)


@when(
    "each of them wants rest at {now_ms:d} ms, for {first:d}, {second:d} and "
    "{last:d} ms"
)
def want_rests(context, now_ms, first, second, last):
    for name, rest_ms in zip(context.names, (first, second, last), strict=True):
        rest(context, name, rest_ms, now_ms)


@when("rests are looked at {now_ms:d} ms")
def end_rests(context, now_ms):
    context.runner_table.end_due_rests(now_ms=float(now_ms))


@when("{name} starts anew under its id")
def start_anew(context, name):
    live = [make_runner(other, born_ms=int(other == name)) for other in context.names]
    context.runner_table.replace_listed(live=live, leaving=[], now_ms=NOW_MS)


@when("the last of them leaves")
def last_leaves(context):
    *live, last = map(make_runner, context.names)
    context.runner_table.replace_listed(live=live, leaving=[last], now_ms=NOW_MS)


@then("the pool may be asked again at {at_ms:d} ms")
def check_left(context, at_ms):
    left_ms = context.runner_table.rest_left_ms(POOL, now_ms=NOW_MS)
    assert left_ms == at_ms - NOW_MS, left_ms
