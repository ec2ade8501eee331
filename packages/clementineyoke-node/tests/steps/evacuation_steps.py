from __future__ import annotations

import asyncio
import time

import msgspec
from behave import given, then, when
from edge_fleet import POOL, EdgeFleet, make_route, make_state
from edge_steps import WHOLE_STREAM, wait_until

from clementineyoke_core.cold_runners import ColdRunners
from clementineyoke_core.edge.evacuations import EvacuatedZone, EvacuationView
from clementineyoke_core.edge.runner_directory import DirectoryChanges, DirectoryView
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.edge.store_freshness import StoreFreshness
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_node.edge.fleet_view import FleetView
from clementineyoke_node.platform.state_decoder import decode_state
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.edge.edge_store import StoreFault

EVACUATIONS_KIND = "evacuations"
PROBES = 12
"""Calls without a prompt go to any runner: this many miss one of two runners with a
probability of 1 in 4,000."""


def start_fleet(context, nodes, runners, zones):
    fleet = EdgeFleet(nodes=nodes, runners=runners, zones=zones)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))


@given("a node's view that follows evacuations")
def given_view(context):
    context.cold = ColdRunners()
    context.timers = TimerService()
    context.view = FleetView(
        table=RunnerTable(),
        cold_runners=context.cold,
        timers=context.timers,
        freshness=StoreFreshness(bound_ms=2_000),
        drain_within_ms=2_000,
        follows_evacuations=True,
        on_runners_changed=lambda: None,
        on_update=lambda changes: None,
    )


@when("it gets the desired state and the runners")
def apply_state(context):
    spec = msgspec.json.encode(make_state(1, make_route("idempotent")))
    context.view.apply_state(decode_state(spec, revision=1), source="peer")
    context.view.apply_runners(DirectoryView(2, ()), source="peer")


@when('it gets the desired state and a runner in "{zone}"')
def apply_state_and_runner(context, zone):
    state = make_state(1, make_route("idempotent"), cold_s=3.0, cold_calls_per_s=9.0)
    spec = msgspec.json.encode(state)
    context.view.apply_state(decode_state(spec, revision=1), source="peer")
    runner = Runner("r", "127.0.0.1", 1, zone, "region", RunnerKind.SERVICE, POOL, 8)
    context.record = RunnerRecord(runner, is_leaving=False, revision=1)
    context.view.apply_runners(DirectoryView(2, (context.record,)), source="peer")


@when('"{zone}" is evacuated and returns')
def evacuate_and_return(context, zone):
    evacuations = EvacuationView(3, (EvacuatedZone(zone, 3),))
    context.view.apply_evacuations(evacuations, source="peer")
    context.view.apply_evacuations(EvacuationView(4), source="peer")


@when("it gets the same entry again")
def apply_same_entry(context):
    changes = DirectoryChanges(0, 5, (context.record,), ())
    context.view.apply_runner_changes(changes, source="peer")


@when("the runner reports that it is warm")
def report_warm(context):
    record = context.record._replace(revision=6)
    changes = DirectoryChanges(5, 6, (record,), ())
    context.view.apply_runner_changes(changes, source="watch")


@then("the runner counts as cold")
def check_runner_cold(context):
    assert context.cold.remaining_ms(
        context.record.runner, now_ms=context.timers.now_ms()
    )


@then("the runner counts as warm")
def check_runner_warm(context):
    now_ms = context.timers.now_ms()
    assert not context.cold.remaining_ms(context.record.runner, now_ms=now_ms)


@when("it gets an empty list of evacuations")
def apply_no_evacuations(context):
    context.view.apply_evacuations(EvacuationView(2), source="peer")


@then("it is not ready")
def check_not_ready(context):
    assert not context.view.ready.is_set()


@then("it is ready")
def check_ready(context):
    assert context.view.ready.is_set()


@given('a fleet of {nodes:d} nodes and {runners:d} runners in "{first}" and "{second}"')
@given('a fleet of {nodes:d} node and {runners:d} runners in "{first}" and "{second}"')
def given_zones(context, nodes, runners, first, second):
    start_fleet(context, nodes, runners, (first, second))


@given('a fleet of {nodes:d} node and {runners:d} runner in "{zone}"')
def given_zone(context, nodes, runners, zone):
    start_fleet(context, nodes, runners, (zone,))


def evacuate(context, zone):
    context.revision = context.run(context.fleet.store.put(EVACUATIONS_KIND, zone, {}))


@when('the operator evacuates "{zone}"')
def evacuate_one(context, zone):
    evacuate(context, zone)


@when('the operator evacuates both "{first}" and "{second}"')
def evacuate_two(context, first, second):
    evacuate(context, first)
    evacuate(context, second)


@when('the operator ends the evacuation of "{zone}"')
def end_evacuation(context, zone):
    context.run(context.fleet.store.remove(EVACUATIONS_KIND, zone))


@when('the operator evacuates "{zone}", ends the evacuation and evacuates it again')
def evacuate_again(context, zone):
    async def run():
        await context.fleet.store.put(EVACUATIONS_KIND, zone, {})
        await asyncio.sleep(0.3)
        await context.fleet.store.remove(EVACUATIONS_KIND, zone)
        await asyncio.sleep(0.3)
        await context.fleet.store.put(EVACUATIONS_KIND, zone, {})

    context.run(run())


@when('the store refuses node {number:d} and the operator evacuates "{zone}"')
def refuse_node(context, number, zone):
    context.fleet.store.rejected_addresses.add(f"127.0.0.{number + 2}")
    evacuate(context, zone)


@when('watches get no answer while the operator evacuates "{zone}"')
def evacuate_without_answers(context, zone):
    async def run():
        store = context.fleet.store
        store.suspends_watches = True
        await asyncio.sleep(0.1)
        await store.put(EVACUATIONS_KIND, zone, {})
        await asyncio.sleep(1.0)
        store.drop_history()
        store.suspends_watches = False

    context.run(run())


@when("the store stops answering and node {number:d} starts")
def start_without_store(context, number):
    async def run():
        node = context.fleet.nodes[0]
        await wait_until(lambda: node.io.view.evacuations.view.zones, 2)
        context.fleet.store.fault = StoreFault.SILENT
        await context.fleet.start_node(number)

    context.run(run())


def calls_in(context, zone):
    fleet = context.fleet
    return [
        call
        for runner in fleet.runners
        for call in runner.calls
        if fleet.zone_of(runner) == zone
    ]


async def probe(context, number):
    """Make sequential calls at a node."""
    for count in range(PROBES):
        call_id = f"probe-{number}-{time.monotonic()}-{count}"
        context.answer = await context.fleet.call(
            "idempotent", number=number, call_id=call_id
        )
        context.call_id = call_id


@then('within {limit:g} s no new call at any node reaches a runner in "{zone}"')
def check_evacuated(context, limit, zone):
    async def run():
        nodes = context.fleet.nodes
        await wait_until(
            lambda: all(zone in n.state.table.evacuated_zones() for n in nodes), limit
        )
        before = len(calls_in(context, zone))
        for number in range(len(nodes)):
            await probe(context, number)
        assert len(calls_in(context, zone)) == before

    context.run(run())


@then('within {limit:g} s calls at each node reach a runner in "{zone}"')
def check_returned(context, limit, zone):
    async def run():
        nodes = context.fleet.nodes
        await wait_until(
            lambda: all(not n.state.table.evacuated_zones() for n in nodes), limit
        )
        for number in range(len(nodes)):
            before = len(calls_in(context, zone))
            await probe(context, number)
            assert len(calls_in(context, zone)) > before

    context.run(run())


@then('no call at node {number:d} reaches a runner in "{zone}"')
def check_no_calls(context, number, zone):
    before = len(calls_in(context, zone))
    context.run(probe(context, number))
    assert context.answer[0] == 200, context.answer
    assert len(calls_in(context, zone)) == before


@when('the operator evacuates "{zone}" during a stream')
def evacuate_during_stream(context, zone):
    async def run():
        stream = asyncio.ensure_future(context.fleet.call("streaming"))
        await wait_until(lambda: calls_in(context, zone), 2)
        await context.fleet.store.put(EVACUATIONS_KIND, zone, {})
        context.answer = await stream

    context.run(run())


@then("the stream is complete")
def check_stream(context):
    status, _, body = context.answer
    assert (status, body) == (200, WHOLE_STREAM), context.answer


@then(
    "calls are refused within {limit:g} s as not run, "
    "with a Retry-After of {retry_after_s:g} s"
)
def check_refused(context, limit, retry_after_s):
    async def run():
        node = context.fleet.nodes[0]
        await wait_until(lambda: len(node.state.table.evacuated_zones()) == 2, 2)
        began_s = time.monotonic()
        status, headers, _ = await context.fleet.call("non_idempotent")
        assert time.monotonic() - began_s < limit
        assert status == 503
        assert float(headers["Retry-After"]) == retry_after_s

    context.run(run())


@when("the runners cut off each stream")
def cut_streams(context):
    async def run():
        node = context.fleet.nodes[0]
        await wait_until(lambda: node.state.table.evacuated_zones(), 2)
        for runner in context.fleet.runners:
            runner.fallback_response = ScriptedResponse.CUT
        context.before = len(calls_in(context, "east"))
        for number in range(PROBES):
            await _try_stream(context, number)

    context.run(run())


async def _try_stream(context, number):
    try:
        await context.fleet.call("streaming", call_id=f"stream-{number}")
    except OSError:
        return  # expected: no other runner can resume the stream
    except Exception as error:  # noqa: BLE001 - aiohttp's own errors for a cut body
        assert "payload" in repr(error).lower(), error


@then('no retry reaches a runner in "{zone}"')
def check_no_retry(context, zone):
    assert len(calls_in(context, zone)) == context.before


@then('the decision on the last call names "{zone}" and the revision of its evacuation')
def check_explained(context, zone):
    found = context.fleet.nodes[0].state.decisions.find(context.call_id)
    routed = [line["fields"] for line in found if line["event"] == "routed"]
    assert routed[0]["evacuated_zones"] == {zone: context.revision}
