from __future__ import annotations

from behave import given, then, when
from crash_fleet import FACTORS, HOMES, CrashFleet

KNOWN_AFTER_CRASHES = 5


@given("a busy fleet of {nodes:d} nodes and {runners:d} runners, seed {seed:d}")
def given_fleet(context, nodes, runners, seed):
    context.crash_fleets = [CrashFleet(nodes=nodes, runners=runners, seed=seed)]


@given("busy fleets of {nodes:d} nodes and {runners:d} runners, seeds 1 to {last:d}")
def given_fleets(context, nodes, runners, last):
    context.crash_fleets = [
        CrashFleet(nodes=nodes, runners=runners, seed=seed)
        for seed in range(1, last + 1)
    ]
    context.unisolated_fleets = [
        CrashFleet(nodes=nodes, runners=runners, seed=seed, isolates_suspects=False)
        for seed in range(1, last + 1)
    ]


@given("a node restarts every {gap:d} s and gets the records of a peer")
def given_restarts(context, gap):
    (fleet,) = context.crash_fleets
    fleet.schedule(gap * 1000, fleet.restart_some, gap * 1000)


@when(
    "{count:d} requests that crash their runners are sent every second for {length:d} s"
)
def send_bad_requests(context, count, length):
    for fleet in context.crash_fleets + getattr(context, "unisolated_fleets", []):
        for number in range(count):
            bad = (b"bad %d" % number, 0)
            fleet.schedule(5_000 + 300 * number, fleet.send_again, *bad)
        fleet.run(length * 1000)


@given("a third of the runners crash at once every {gap:d} s")
def given_rack_failures(context, gap):
    (fleet,) = context.crash_fleets
    fleet.schedule(gap * 1000, fleet.crash_some, 1 / 3, gap * 1000)


@when(
    "requests with {count:d} crashing parts are sent every {gap:d} ms for {length:d} s"
)
def send_bad_parts(context, count, gap, length):
    (fleet,) = context.crash_fleets
    for number in range(count):
        fleet.schedule(
            5_000 + 300 * number, fleet.send_with_part, f"bad-{number}", (0,), gap
        )
    fleet.run(length * 1000)


@when("a third of the runners crash at once every {gap:d} s for {length:d} s")
def runners_crash(context, gap, length):
    (fleet,) = context.crash_fleets
    fleet.schedule(gap * 1000, fleet.crash_some, 1 / 3, gap * 1000)
    fleet.run(length * 1000)


@then("each has crashed {count:d} runners")
def check_crashed(context, count):
    (fleet,) = context.crash_fleets
    assert list(fleet.crashed.values()) == [count, count], fleet.crashed
    assert len(fleet.refused) > 20, len(fleet.refused)


@then("each has crashed {count:d} runners at most")
def check_max_crashed(context, count):
    (fleet,) = context.crash_fleets
    assert max(fleet.crashed.values()) <= count, fleet.crashed


@then(
    "{count:d} requests with each part at most are sent later than {late_s:d} s"
    " after its fifth crash"
)
def check_late_sends(context, count, late_s):
    (fleet,) = context.crash_fleets
    for part, crashes_ms in fleet.part_crashes_ms.items():
        if len(crashes_ms) < KNOWN_AFTER_CRASHES:
            continue
        known_ms = crashes_ms[KNOWN_AFTER_CRASHES - 1] + 1000 * late_s
        late = [sent for sent in fleet.part_sends_ms[part] if sent > known_ms]
        assert len(late) <= count, (part, crashes_ms, late)
    assert len(fleet.refused) > 20, len(fleet.refused)


@then("no other request is refused")
def check_others(context):
    (fleet,) = context.crash_fleets
    assert not fleet.refused_others, fleet.refused_others


@then(
    "a crash has cost 3 datagrams per call, and each change of a record 3 per node,"
    " at most"
)
def check_cost(context):
    (fleet,) = context.crash_fleets
    assert fleet.reports <= FACTORS * HOMES * fleet.broken
    assert max(fleet.sent_changes.values()) <= HOMES, fleet.sent_changes.most_common(3)


@then("fewer other calls break than where suspects follow their prompt")
def check_isolation(context):
    isolated = sum(fleet.broken for fleet in context.crash_fleets)
    unisolated = sum(fleet.broken for fleet in context.unisolated_fleets)
    assert isolated < 0.9 * unisolated, (isolated, unisolated)
