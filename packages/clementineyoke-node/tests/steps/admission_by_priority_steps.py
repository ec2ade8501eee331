from __future__ import annotations

import asyncio
import json
from random import Random

from behave import given, then, when
from edge_fleet import POOL, EdgeFleet, make_route
from edge_steps import wait_until
from loguru import logger
from slot_home_steps import PEER, RUNNER, make_home

from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.overload.pressure_meter import PressureReading, RunnerDemand
from clementineyoke_core.overload.priority_ranks import PriorityRanks
from clementineyoke_core.overload.priority_reserve_rule import PriorityReserveRule
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotLedger
from clementineyoke_node.edge.admission_control import AdmissionControl
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_standins.edge.written_specs import state_spec
from clementineyoke_wire.events import Event
from clementineyoke_wire.messages import SlotAsk, SlotRelease, SlotRenewal

SLOTS = 8
CONTROL_PORT = 3
FULL_PRESSURE = PressureReading(occupancy=4.0, urgent_share=1.0)


def make_routes(priority):
    return (
        make_route("idempotent", priority=priority),
        make_route("non_idempotent", runners=1, priority=1),
    )


@given(
    "a fleet of {nodes:d} node and {runners:d} runners {with_or_not} admission "
    "by priority"
)
@given(
    "a fleet of {nodes:d} nodes and {runners:d} runner {with_or_not} admission "
    "by priority"
)
def given_fleet(context, nodes, runners, with_or_not):
    settings = {"priority_admission": with_or_not == "with"}
    memory = {"memory_tokens": 100_000}
    fleet = EdgeFleet(nodes=nodes, runners=runners, settings=settings, cold=memory)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    put_routes(context, priority=0)


def put_routes(context, *, priority):
    context.run(context.fleet.put_state(*make_routes(priority)))
    context.run(wait_until(lambda: knows_version(context.fleet), 3))


def knows_version(fleet):
    return all(
        node.io.view.routes.state.version == fleet.version for node in fleet.nodes
    )


@given("the runners' homes count a demand of {times:g} times the slots")
def given_demand(context, times):
    for node in context.fleet.nodes:
        home = node.io.slot_home
        home.demands = lambda home=home: [
            RunnerDemand(POOL, round(times * SLOTS), 0, SLOTS) for _ in home.loads()
        ]
    if context.fleet.nodes[0].io.admission.is_enabled:
        context.run(wait_until(lambda: min(levels(context.fleet)) > 0.99, 10))


def levels(fleet):
    now_ms = fleet.nodes[0].io.timers.now_ms()
    statuses = [node.io.admission.status(now_ms=now_ms) for node in fleet.nodes]
    return [
        status[POOL]["level_in_force"] if POOL in status else 0.0 for status in statuses
    ]


@when("the demand falls to {times:g} times the slots")
def lower_demand(context, times):
    for node in context.fleet.nodes:
        node.io.slot_home.demands = lambda: [
            RunnerDemand(POOL, round(times * SLOTS), 0, SLOTS)
        ]
    context.run(wait_until(lambda: max(levels(context.fleet)) < 0.01, 3))


@when("a desired state gives all routes the priority {priority:d}")
def give_one_priority(context, priority):
    put_routes(context, priority=priority)
    admission = context.fleet.nodes[0].io.admission
    context.run(wait_until(lambda: not admission.status(now_ms=0), 3))


@when(
    '{first:d} "{kind}" calls of the priority {priority:d} and {second:d} "{other}" '
    "ones of the priority 1 arrive"
)
def make_calls(context, first, kind, priority, second, other):
    routes = {route["name"]: route["priority"] for route in context.fleet.routes}
    assert context.fleet.version > 1 and routes[kind] == priority

    async def act():
        return {
            name: [
                await context.fleet.call(name, call_id=f"{name}-{n}")
                for n in range(count)
            ]
            for name, count in ((kind, first), (other, second))
        }

    context.answers = context.run(act())


@then('all "{kind}" calls are answered')
def check_all_answered(context, kind):
    statuses = {status for status, _, _ in context.answers[kind]}
    assert statuses == {200}, context.answers[kind]


@then('some "{kind}" calls are rejected at the step admission, with a time to return')
def check_rejected(context, kind):
    rejected = [answer for answer in context.answers[kind] if answer[0] != 200]
    assert rejected
    for status, headers, body in rejected:
        assert (status, json.loads(body)["step"]) == (503, "admission"), body
        assert 0 < float(headers["Retry-After"]) < 3


@then("the runners received the answered calls only")
def check_received(context):
    answers = [answer for answers in context.answers.values() for answer in answers]
    answered = sum(status == 200 for status, _, _ in answers)
    assert len(context.fleet.calls()) == answered


@then(
    "the log of a rejected call gives the level, the pressure, its age and "
    "the time to return"
)
def check_log(context):
    number = [status for status, _, _ in context.answers["non_idempotent"]].index(503)
    decisions = context.fleet.nodes[0].state.decisions
    (decision,) = decisions.find(f"non_idempotent-{number}")
    assert decision["event"] == "route_refused"
    fields = decision["fields"]
    assert (fields["step"], fields["outcome"]) == ("admission", "not_run")
    assert fields["retry_after_ms"] == 100
    for part in ("level 1.00 of 1", "rank 1", "pressure 2.00", "ms old"):
        assert part in fields["reason"], fields


async def get(context, number, path):
    url = context.fleet.url(number, CONTROL_PORT, path)
    async with context.fleet.session.get(url) as response:
        return await response.text()


@then(
    "the status of each node gives a pressure of {pressure:g} and a level of {level:g}"
)
def check_status(context, pressure, level):
    for number in range(len(context.fleet.nodes)):
        status = json.loads(context.run(get(context, number, "/status")))
        pool = status["pressure"][POOL]
        assert abs(pool["pressure"] - pressure) < 0.02, pool
        assert abs(pool["level_in_force"] - level) < 0.02, pool
        assert pool["is_shared"] is (len(context.fleet.nodes) > 1), pool


@then("the status gives no pressure")
def check_no_pressure(context):
    status = json.loads(context.run(get(context, 0, "/status")))
    assert status["pressure"] == {}


@then("the metrics count the admitted and the rejected calls of the priority 1")
def check_metrics(context):
    lines = context.run(get(context, 0, "/metrics")).splitlines()
    statuses = [status for status, _, _ in context.answers["non_idempotent"]]
    labels = f'pool="{POOL}",priority="1"'
    admitted = f"clementineyoke_calls_admitted_total{{{labels}}}"
    rejected = f'clementineyoke_calls_rejected_total{{{labels},reason="level"}}'
    assert f"{admitted} {statuses.count(200)}" in lines, lines
    assert f"{rejected} {statuses.count(503)}" in lines, lines
    assert f'clementineyoke_admission_level{{pool="{POOL}"}} 1.0' in lines, lines


@then(
    "the home counts {in_use:d} call in use and {queued:d} queued "
    "for its {slots:d} slot"
)
def check_demand(context, in_use, queued, slots):
    assert context.home.demands() == [RunnerDemand("m", in_use, queued, slots)]


@then("the home counts no runner that accepts calls")
def check_no_demand(context):
    assert context.home.demands() == []


@given(
    "the same {count:d} requests, renewals, releases and queued calls, seed {seed:d}"
)
def given_messages(context, count, seed):
    rng = Random(seed)
    runner = hash_text("engine-1")
    context.messages = []
    for number in range(count):
        earlier = rng.randrange(number + 1)
        ask = SlotAsk(
            number,
            runner,
            rng.choice((0.0, 0.0, 6.0)),
            priority=rng.randrange(10),
            objective_ms=rng.choice((0, 250)),
            wait_ms=rng.choice((0, 0, 0, 400)),
        )
        release = SlotRelease(earlier, runner, True)
        renewal = SlotRenewal(runner, [earlier], [])
        message = rng.choices((ask, release, renewal), (6, 5, 1))[0]
        context.messages.append((rng.uniform(0, 20), message))


@when("a home with the rule of admission by priority and one without it receive them")
def receive_messages(context):
    context.replies = []
    for make_rules in (None, make_reserve_rules):
        runner = RUNNER._replace(slots=SLOTS)
        make_home(context, live=[runner], make_rules=make_rules)
        for elapsed_ms, message in context.messages:
            context.timers.at_ms += elapsed_ms
            context.socket.receive(message, peer=PEER)
        context.replies.append(context.socket.sent)


class FullPressure:
    """A pool with the highest pressure."""

    def reading(self, pool):
        return FULL_PRESSURE


def make_reserve_rules(ledger, table):
    routes = [make_route("idempotent", service="m", priority=3)]
    state = state_spec(
        version=1, routes=routes, team="team", keys=["key"], memory_tokens=100_000
    )
    decoded = decode_state(json.dumps(state).encode(), revision=1)
    return (
        PriorityReserveRule(
            ledger=ledger,
            table=table,
            ranks=PriorityRanks(read_state=lambda: decoded),
            pressure=FullPressure(),
            queue_share=1.0,
        ),
    )


@then("both homes reply the same")
def check_same(context):
    first, second = context.replies
    assert first == second
    assert {reply.granted for reply in first} == {True, False}


@given(
    "urgent calls with an objective of {objective_ms:d} ms, and no slot for any call"
)
def given_no_slot(context, objective_ms):
    idempotent, other = make_routes(0)
    urgent = {**idempotent, "targetLatencyMs": objective_ms}
    context.run(context.fleet.put_state(urgent, other))
    context.run(wait_until(lambda: knows_version(context.fleet), 3))
    # Calls are counted once the housekeeping has adopted the pool.
    admission = context.fleet.nodes[0].io.admission
    context.run(wait_until(lambda: POOL in admission.status(now_ms=0), 3))
    ended = context.ended_searches = []

    async def wait_for_slot(request):
        try:
            await asyncio.sleep(10)
        finally:
            ended.append(request)

    context.fleet.nodes[0].io.broker.acquire = wait_for_slot


@when("{count:d} urgent callers disconnect after {wait_ms:d} ms")
def disconnect(context, count, wait_ms):
    async def call(number):
        coroutine = context.fleet.call(
            "idempotent",
            call_id=f"call-{number}",
            session=context.fleet.concurrent_session,
        )
        try:
            await asyncio.wait_for(coroutine, wait_ms / 1_000)
        except TimeoutError:
            return
        raise AssertionError

    async def act():
        await asyncio.gather(*(call(number) for number in range(count)))
        await wait_until(lambda: len(context.ended_searches) == count, 3)
        # The pressure is updated every 100 ms.
        await asyncio.sleep(0.15)

    context.run(act())


@then("{some_or_no} urgent calls have failed")
def check_failed_calls(context, some_or_no):
    status = context.fleet.nodes[0].io.admission.status(now_ms=0)
    has_failed = status[POOL]["urgent_share"] > 0.1
    assert has_failed is (some_or_no == "some"), status


@given("the admission control of a node in a pool with the priorities 0 and 1")
def given_control(context):
    routes = make_routes(0)
    state = state_spec(
        version=1,
        routes=list(routes),
        team="team",
        keys=["key"],
        memory_tokens=100_000,
    )
    decoded = decode_state(json.dumps(state).encode(), revision=1)
    context.control = AdmissionControl(
        ledger=SlotLedger(),
        table=RunnerTable(),
        mean_load=MeanLoadEstimator(),
        metrics=Metrics(),
        rng=Random(1),
        read_state=lambda: decoded,
        queue_share=1.0,
    )
    context.control.update_pools()
    context.lines = []
    sink = logger.add(
        lambda message: context.lines.append(message.record), level="INFO"
    )
    context.add_cleanup(logger.remove, sink)


@when(
    "the pressure is 2 for 1 s and 0.9 for 8 s, with gossip during the first "
    "{gossip_s:d} s"
)
def play_pressures(context, gossip_s):
    for now_ms in range(0, 9_001, 100):
        if now_ms < gossip_s * 1_000:
            context.control.record_exchange(now_ms=now_ms)
        calls = 20 if now_ms <= 1_000 else 9
        demand = RunnerDemand(POOL, calls, 0, 10)
        context.control.update([demand], now_ms=now_ms)


def logged(context, event):
    number = event.value.number
    extras = [line["extra"] for line in context.lines]
    return [extra for extra in extras if extra.get("event") == number]


@then(
    "the log has the levels 0.5, 1.0, 0.5 and 0.0, each with the pressure and its age"
)
def check_logged_levels(context):
    lines = logged(context, Event.ADMISSION_LEVEL)
    assert [line["admission_level"] for line in lines] == [0.5, 1.0, 0.5, 0.0], lines
    assert [line["pressure"] for line in lines] == [2.0, 2.0, 0.9, 0.9], lines
    assert all(line["pool"] == POOL and "age_ms" in line for line in lines)
    # A field "level" would replace the severity of the log line.
    assert not any("level" in line for line in lines)


@then("the log says once that the pressure is the fleet's, and once that it is not")
def check_logged_sources(context):
    for event in (Event.PRESSURE_SHARED, Event.PRESSURE_LOCAL):
        assert [line["pools"] for line in logged(context, event)] == [[POOL]]


def record_searches(context, priority, count, *, is_granted):
    for _ in range(count):
        context.control.record_search(
            POOL,
            priority,
            is_granted=is_granted,
            took_ms=1.0,
            objective_ms=500.0,
            now_ms=0.0,
        )


@when(
    "{count:d} calls of the priority 0 are served and {other:d} of the priority 1 "
    "are not"
)
def serve_one_priority(context, count, other):
    record_searches(context, 0, count, is_granted=True)
    record_searches(context, 1, other, is_granted=False)


@when("{count:d} calls of the priority 1 are served")
def serve_starving(context, count):
    record_searches(context, 1, count, is_granted=True)


@then("a call of the priority 1 asks for its slot with the priority {priority:d}")
def check_asked_priority(context, priority):
    assert context.control.asked_priority(POOL, 1) == priority


@then("a call of the priority 1 to another pool asks with the priority 1")
def check_other_pool(context):
    assert context.control.asked_priority("other", 1) == 1
