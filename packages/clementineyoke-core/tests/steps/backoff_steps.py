from __future__ import annotations

from behave import then, when
from edge_steps import POOL, make_runner

NOW_MS = 1_000.0


def back_off(context, name, backoff_ms, now_ms):
    context.runner_table.record_backoff(
        make_runner(name), backoff_ms=backoff_ms, now_ms=float(now_ms)
    )


@when("{name} asks for a backoff of {backoff_ms:d} ms at {now_ms:d} ms")
def ask_for_backoff(context, name, backoff_ms, now_ms):
    back_off(context, name, backoff_ms, now_ms)


@when(
    "each of them asks for a backoff at {now_ms:d} ms, for {first:d}, {second:d} and "
    "{last:d} ms"
)
def ask_for_backoffs(context, now_ms, first, second, last):
    for name, backoff_ms in zip(context.names, (first, second, last), strict=True):
        back_off(context, name, backoff_ms, now_ms)


@when("expired backoffs are ended at {now_ms:d} ms")
def end_backoffs(context, now_ms):
    context.runner_table.end_expired_backoffs(now_ms=float(now_ms))


@when("{name} restarts under its id")
def restart(context, name):
    live = [make_runner(other, born_ms=int(other == name)) for other in context.names]
    context.runner_table.apply_host_list(live=live, leaving=[], now_ms=NOW_MS)


@when("the last of them leaves")
def last_leaves(context):
    *live, last = map(make_runner, context.names)
    context.runner_table.apply_host_list(live=live, leaving=[last], now_ms=NOW_MS)


@then("calls to the pool may be retried at {at_ms:d} ms")
def check_left(context, at_ms):
    left_ms = context.runner_table.backoff_remaining_ms(POOL, now_ms=NOW_MS)
    assert left_ms == at_ms - NOW_MS, left_ms
