from __future__ import annotations

from behave import given, then, when
from crash_fleet import HOMES, CrashFleet


@given("a busy fleet of {nodes:d} nodes and {runners:d} runners, seed {seed:d}")
def given_fleet(context, nodes, runners, seed):
    context.crash_fleets = [CrashFleet(nodes=nodes, runners=runners, seed=seed)]


@given("busy fleets of {nodes:d} nodes and {runners:d} runners, seeds 1 to {last:d}")
def given_fleets(context, nodes, runners, last):
    context.crash_fleets = [
        CrashFleet(nodes=nodes, runners=runners, seed=seed)
        for seed in range(1, last + 1)
    ]
    context.plain_fleets = [
        CrashFleet(nodes=nodes, runners=runners, seed=seed, sets_apart=False)
        for seed in range(1, last + 1)
    ]


@given("a node starts anew every {gap:d} s, and takes over what a peer knows")
def given_restarts(context, gap):
    (fleet,) = context.crash_fleets
    fleet.at(gap * 1000, fleet.restart_some, gap * 1000)


@when("{count:d} requests that end their runners come every second for {length:d} s")
def bad_requests_come(context, count, length):
    for fleet in context.crash_fleets + getattr(context, "plain_fleets", []):
        for number in range(count):
            bad = (b"bad %d" % number, 2**40)
            fleet.at(5_000 + 300 * number, fleet.come_again, *bad)
        fleet.run(length * 1000)


@when("a third of the runners end at once every {gap:d} s for {length:d} s")
def runners_end(context, gap, length):
    (fleet,) = context.crash_fleets
    fleet.at(gap * 1000, fleet.end_some, 1 / 3, gap * 1000)
    fleet.run(length * 1000)


@then("each has ended {count:d} runners")
def check_ended(context, count):
    (fleet,) = context.crash_fleets
    assert list(fleet.ended.values()) == [count, count], fleet.ended
    assert len(fleet.refused) > 20, len(fleet.refused)


@then("each has ended {count:d} runners at most")
def check_ended_most(context, count):
    (fleet,) = context.crash_fleets
    assert max(fleet.ended.values()) <= count, fleet.ended


@then("no other request is refused")
def check_others(context):
    (fleet,) = context.crash_fleets
    assert not fleet.refused_others, fleet.refused_others


@then(
    "an end has cost 3 datagrams a call, and each change of a record 3 a node, at most"
)
def check_cost(context):
    (fleet,) = context.crash_fleets
    assert fleet.reports <= HOMES * fleet.broken
    assert max(fleet.told.values()) <= HOMES, fleet.told.most_common(3)


@then("fewer other calls break than where suspects follow their prompt")
def check_apart(context):
    apart = sum(fleet.broken for fleet in context.crash_fleets)
    plain = sum(fleet.broken for fleet in context.plain_fleets)
    assert apart < 0.9 * plain, (apart, plain)
