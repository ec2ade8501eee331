from __future__ import annotations

from admission_fleet import POOL, make_state
from behave import given, then, when
from hypothesis import given as drawn, settings, strategies as st

from clementineyoke_core.edge.desired_state import PriorityClass, Team
from clementineyoke_core.edge.route_table import RouteTable
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.overload.admission_level import AdmissionLevel
from clementineyoke_core.overload.pressure_meter import PressureMeter, RunnerDemand
from clementineyoke_core.overload.priority_ranks import PriorityRanks

UPDATE_MS = 100
SLOTS = 10


def make_meter(context):
    context.mean_load = MeanLoadEstimator()
    context.meter = PressureMeter(mean_load=context.mean_load)
    context.meter.set_pools({POOL})
    context.level = AdmissionLevel(ranks=3)
    context.now_ms = 0.0
    context.demands = []


def update(context):
    context.meter.update(context.demands, now_ms=context.now_ms)
    pressure = context.meter.reading(POOL).pressure
    context.level.update(pressure, now_ms=context.now_ms)


def exchange(context, pressure, *, slots=1000, urgent_share=0.0):
    """Exchange shares with a node of a fleet with a pressure."""
    peer = MeanLoadEstimator()
    for key in context.meter.gossip_keys():
        is_urgent = "urgent" in key
        share, total = (urgent_share, 1000) if is_urgent else (pressure, slots)
        peer.set_local(key, load=share * total, runners=total)
    pushed = context.mean_load.begin_round()
    context.mean_load.finish_round(pushed=pushed, replied=peer.merge(pushed))
    context.meter.record_exchange(now_ms=context.now_ms)


@given(
    "a pool whose routes have the priorities 1 and 4, and teams of 0, of 4 and of none"
)
def given_classes(context):
    teams = tuple(Team(f"team-{p}", (), p) for p in (0, 4, None))
    context.route_table = RouteTable(state=make_state((1, 4))._replace(teams=teams))


@then(
    "a call by the route of {route:d} of a team of {team} has the priority {priority:d}"
)
def check_priority(context, route, team, priority):
    team_priority = None if team == "none" else int(team)
    found = PriorityClass.of(route, team_priority)
    assert context.route_table.class_index(POOL, found) == priority


@given("a pool whose routes have 12 priorities")
def given_many_classes(context):
    context.state = make_state(range(12))


@then("the priorities of their calls are 0 to 9, and 9 for the last three")
def check_many_classes(context):
    table = RouteTable(state=context.state)
    classes = [PriorityClass.of(route.priority, None) for route in context.state.routes]
    found = [table.class_index(POOL, priority_class) for priority_class in classes]
    assert found == [*range(10), 9, 9]


@given("an admission level of {ranks:d} ranks")
def given_level(context, ranks):
    context.level = AdmissionLevel(ranks=ranks)
    context.now_ms = 0.0
    context.level.update(0.0, now_ms=0.0)


@when("the pressure is {pressure:g} for {seconds:g} s")
def hold_pressure(context, pressure, seconds):
    for _ in range(round(seconds * 1_000 / UPDATE_MS)):
        context.now_ms += UPDATE_MS
        context.level.update(pressure, now_ms=context.now_ms)


def check_level(context, level):
    assert abs(context.level.value - level) < 1e-6, context.level.value


@then(
    "the level is {level:d} and {percent:d} in 100 calls of the ranks 1 and 2 "
    "are admitted"
)
def check_two_shares(context, level, percent):
    check_level(context, level)
    shares = [context.level.admitted_share(rank) for rank in (1, 2)]
    assert shares == [percent / 100] * 2, shares


@then(
    "the level is {level:d} and {percent:d} in 100 calls of the rank 2 "
    "and all of the rank 1 are admitted"
)
def check_one_share(context, level, percent):
    check_level(context, level)
    shares = [round(context.level.admitted_share(rank), 6) for rank in (1, 2)]
    assert shares == [1.0, percent / 100], shares


@then("the level is {level:d} and all calls are admitted")
def check_level_without_effect(context, level):
    check_level(context, level)
    check_all_admitted(context)


@then("all calls are admitted")
def check_all_admitted(context):
    assert all(context.level.admits(rank, draw=0.9999) for rank in range(3))


@then("all calls of the rank 0 are admitted")
def check_most_urgent_admitted(context):
    assert context.level.admits(0, draw=0.9999)
    assert not context.level.admits(1, draw=0.9999)


@then(
    "for any pressures and any draw, a level that admits a rank admits the more urgent"
)
def check_order(context):
    steps = st.lists(st.tuples(st.floats(0, 4), st.floats(0, 2_000)), max_size=12)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @drawn(ranks=st.integers(2, 10), steps=steps, draw=st.floats(0, 1))
    def check(ranks, steps, draw):
        level = AdmissionLevel(ranks=ranks)
        now_ms = 0.0
        for pressure, elapsed_ms in steps:
            now_ms += elapsed_ms
            level.update(pressure, now_ms=now_ms)
        admitted = [level.admits(rank, draw=draw) for rank in range(ranks)]
        assert admitted == sorted(admitted, reverse=True)
        assert level.admits(0, draw=1.0)
        assert 0.0 <= level.value <= ranks - 1
        assert min(level.admitted_share(rank) for rank in range(ranks)) >= 0.3

    check()


@given(
    "a node that shares a pressure of {fleet:g} with the fleet, and whose runners "
    "have {own:g}"
)
def given_sharing_node(context, fleet, own):
    make_meter(context)
    context.demands = [RunnerDemand(POOL, round(own * SLOTS), 0, SLOTS)]
    for _ in range(40):
        context.now_ms += UPDATE_MS
        exchange(context, fleet)
        update(context)
    context.exchanged_ms = context.now_ms


@when("the last gossip is {age_s:g} s old")
def pass_silence(context, age_s):
    while context.now_ms < context.exchanged_ms + age_s * 1_000:
        context.now_ms += UPDATE_MS
        update(context)


@when("{count:d} urgent calls get no slot")
def fail_urgent_calls(context, count):
    for _ in range(count):
        context.meter.record_urgent_call(POOL, is_failed=True)
    context.meter.update(context.demands, now_ms=context.now_ms)


@then("its pressure is {pressure:g}, from {source}")
def check_pressure(context, pressure, source):
    reading = context.meter.reading(POOL)
    assert abs(reading.pressure - pressure) < 0.02, reading
    assert reading.is_shared is (source == "the fleet"), reading


@then("its pressure is less than {pressure:g}")
def check_low_pressure(context, pressure):
    assert context.meter.reading(POOL).pressure < pressure


@then("its level has fallen to 0 within 8 s")
def check_fallen(context):
    before = context.level.value
    assert before > 1.0
    for _ in range(80):
        context.now_ms += UPDATE_MS
        update(context)
        assert before - context.level.value <= 2 * UPDATE_MS / 8_000 + 1e-9
        before = context.level.value
    check_level(context, 0)


@given("a node that has just started")
@given("a node that measures a pool")
def given_started(context):
    make_meter(context)
    update(context)


@then("its level is 0")
def check_no_level(context):
    check_level(context, 0)


@when(
    "it has exchanged its shares with a node of a fleet with a pressure of {pressure:g}"
)
def exchange_once(context, pressure):
    exchange(context, pressure)
    update(context)


@given("a node whose desired state gives the priorities 0 and 2")
def given_stale_state(context):
    context.state = make_state((0, 2))
    context.ranks = PriorityRanks(read_state=lambda: context.state)


@when(
    "{last:d} calls of the last class and {first:d} of the first arrive within "
    "{seconds:d} s"
)
def record_calls(context, last, first, seconds):
    started_ms = getattr(context, "ended_ms", 0.0)
    context.ended_ms = started_ms + seconds * 1_000
    arrivals = [(n / last, 1) for n in range(last)]
    arrivals += [(n / first, 0) for n in range(first)]
    for part, priority in sorted(arrivals):
        now_ms = started_ms + part * seconds * 1_000
        context.ranks.record_call(POOL, priority, now_ms=now_ms)


@then("the node ranks the first and the last class as {first:d} and {last:d}")
def check_used_ranks(context, first, last):
    context.ranks.record_call(POOL, 1, now_ms=context.ended_ms)
    assert (context.ranks.rank(POOL, 0), context.ranks.rank(POOL, 1)) == (first, last)


@given("a node whose desired state gives the priorities 0 and 2 to a plain service")
def given_plain_service(context):
    state = make_state((0, 2))._replace(pools=())
    context.ranks = PriorityRanks(read_state=lambda: state)


@then("it has no pool with ranks")
def check_no_ranks(context):
    assert context.ranks.pools() == set()


@given("a node whose desired state gives the priorities 0, 1 and 2")
def given_three_classes(context):
    context.ranks = PriorityRanks(read_state=lambda: make_state(range(3)))


@when("100 calls of class 0, 8 of class 1 and 100 of class 2 arrive")
def record_three_classes(context):
    for priority, count in enumerate((100, 8, 100)):
        for _ in range(count):
            context.ranks.record_call(POOL, priority, now_ms=0.0)
    context.ranks.record_call(POOL, 2, now_ms=1_000.0)


@then("the node ranks the classes 0, 1 and 2 as 0, 1 and 1")
def check_three_classes(context):
    assert [context.ranks.rank(POOL, priority) for priority in range(3)] == [0, 1, 1]


@when("other nodes know a state with the priorities 0, 1 and 2")
def make_newer_state(context):
    context.newer_state = make_state((0, 1, 2), revision=2)


@then("the node ranks the priorities 0, 1 and 2 as 0, 1 and 1")
def check_stale_ranks(context):
    assert [context.ranks.rank(POOL, priority) for priority in range(3)] == [0, 1, 1]


@then("after the newer state arrives, as 0, 1 and 2")
def check_newer_ranks(context):
    context.state = context.newer_state
    assert [context.ranks.rank(POOL, priority) for priority in range(3)] == [0, 1, 2]


@when("its runners with 10 slots have {in_use:d} calls in use and {queued:d} queued")
def set_demand(context, in_use, queued):
    context.demands = [RunnerDemand(POOL, in_use, queued, SLOTS)]
    update(context)


@when("{seconds:d} s pass without calls")
def pass_time(context, seconds):
    context.now_ms += seconds * 1_000
    update(context)


@given("a node that measures {count:d} pools")
def given_many_pools(context, count):
    make_meter(context)
    context.pools = [f"pool-{n}" for n in range(count)]
    context.meter.set_pools(set(context.pools))
    context.demands = [RunnerDemand(pool, 9, 0, SLOTS) for pool in context.pools]
    update(context)


@then("{count:d} keys are gossiped")
def check_keys(context, count):
    assert len(context.meter.gossip_keys()) == count
    assert context.mean_load.shares().keys() == context.meter.gossip_keys()


@then("every pool has the pressure of the node's own runners")
def check_own_pressures(context):
    context.meter.record_exchange(now_ms=context.now_ms)
    update(context)
    pressures = {context.meter.reading(pool).pressure for pool in context.pools}
    assert pressures == {0.9}, pressures


@when(
    "the last gossip is {gossip_ms:d} ms old, and the node's own counts are "
    "{counts_ms:d} ms old"
)
def age_inputs(context, gossip_ms, counts_ms):
    exchange(context, 1.5)
    exchanged_ms = context.now_ms
    context.now_ms = exchanged_ms + gossip_ms - counts_ms
    update(context)
    context.now_ms = exchanged_ms + gossip_ms


@then('the pressure of the pool "{pool}" is from {source} and {age_ms:d} ms old')
def check_age(context, pool, source, age_ms):
    reading = context.meter.reading(pool)
    assert reading.is_shared is (source == "the fleet"), reading
    assert context.meter.age_ms(pool, now_ms=context.now_ms) == age_ms


@when(
    "it exchanges shares with a fleet without slots, where {percent:d} in 100 urgent "
    "calls fail"
)
def exchange_without_slots(context, percent):
    exchange(context, 0.0, slots=0, urgent_share=percent / 100)
    update(context)
