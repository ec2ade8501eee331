from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.lifetime_doubts import SETTLE_MS, LifetimeDoubts
from clementineyoke_core.runner import Runner, RunnerKind

RUNNER = Runner(
    "engine-1", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "m", 8, born_ms=1
)
CONFIRMED_MS = SETTLE_MS + 100


@given("a runner that refused a connection, and a peer's doubt about it")
def given_doubt(context):
    context.doubts = LifetimeDoubts()
    context.doubts.record_end(RUNNER, now_ms=0)
    (context.doubt,) = context.doubts.view(now_ms=CONFIRMED_MS)


@when("it accepts one, and the store confirms its entry")
def accept(context):
    context.doubts.record_accepted(RUNNER, now_ms=50)
    confirm(context)


@when("it accepts one and refuses the next, and the store confirms its entry")
def accept_and_refuse(context):
    context.doubts.record_accepted(RUNNER, now_ms=50)
    context.doubts.record_end(RUNNER, now_ms=60)
    confirm(context)


def confirm(context):
    context.doubts.record_view(confirmed_ms=0, is_stale=False)
    context.doubts.record_view(confirmed_ms=CONFIRMED_MS, is_stale=False)


@when("the peer hands over its doubt")
def adopt(context):
    context.doubts.adopt(context.doubt, now_ms=CONFIRMED_MS)


@when("the peer has seen a refusal since, and hands over its doubt")
def adopt_newer(context):
    newer = context.doubt._replace(last_age_ms=10)
    context.doubts.adopt(newer, now_ms=CONFIRMED_MS + 50)


@then("the runner is in doubt")
def check_doubt(context):
    assert context.doubts.is_doubtful(RUNNER)


@then("the runner is not in doubt")
def check_no_doubt(context):
    assert not context.doubts.is_doubtful(RUNNER)
