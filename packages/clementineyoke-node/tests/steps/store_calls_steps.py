from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

from behave import given, then, when
from edge_fleet import EdgeFleet
from edge_steps import wait_until

from clementineyoke_node.platform.store_error import StoreError
from clementineyoke_standins.edge.edge_store import StoreFault

CALL_PAUSE_S = 0.05
STAYS_S = 4.5
"""How long a runner whose entry has ended serves on."""
SETTLE_S = 2.0
"""Long enough for the nodes' first watches to meet the fault."""
POLL_S = 0.01
FAULTS = {
    "refused with 503": StoreFault.UNAVAILABLE,
    "refused with 429": StoreFault.TOO_MANY_REQUESTS,
    "reset": StoreFault.RESET,
    "unanswered": StoreFault.SILENT,
}
CUT = "cut off as a watch after "


def set_event(store, event, interval):
    store.faulty_call_interval = interval
    if event.startswith(CUT):
        store.cut_watches_after_s = float(event.removeprefix(CUT).removesuffix(" s"))
        store.fault = None
    else:
        store.fault = FAULTS[event]


@given(
    "a fleet of {nodes:d} nodes and {runners:d} runners, one in {interval:d} calls to"
    " the store {event}"
)
def given_failing_calls(context, nodes, runners, interval, event):
    fleet = EdgeFleet(nodes=nodes, runners=runners)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.event = (event, interval)
    set_event(fleet.store, event, interval)
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))


@asynccontextmanager
async def steady_calls(context):
    """Make calls at each node all the time; ``context.answers`` gets their statuses."""
    fleet = context.fleet
    context.answers = []
    tasks = []

    async def call(node, number):
        status, _, _ = await fleet.call(
            "idempotent",
            number=node,
            call_id=f"call-{node}-{number}",
            session=fleet.concurrent_session,
        )
        context.answers.append((time.monotonic(), status))

    async def make_calls():
        number = 0
        while True:
            number += 1
            for node in range(len(fleet.nodes)):
                tasks.append(asyncio.ensure_future(call(node, number)))
            await asyncio.sleep(CALL_PAUSE_S)

    maker = asyncio.ensure_future(make_calls())
    try:
        yield
    finally:
        maker.cancel()
        await asyncio.gather(*tasks)


@when("the entry of runner 0 ends amid calls")
def entry_ends(context):
    async def watch_read(node, revision):
        while node.io.view.runners_revision < revision:
            await asyncio.sleep(POLL_S)
        return time.monotonic()

    async def act():
        fleet = context.fleet
        async with steady_calls(context):
            await asyncio.sleep(SETTLE_S)
            context.ended_s = time.monotonic()
            await fleet.store.remove("servers", fleet.runners[0].runner_id)
            read = [watch_read(node, fleet.store.revision) for node in fleet.nodes]
            stay = asyncio.sleep(STAYS_S)
            *context.read_s, _ = await asyncio.gather(*read, stay)

    context.run(act())


@then(
    "each node learns of it within {read_s:g} s and sends calls to runner 0 for at most"
    " {bound_s:g} s then, and all calls are served"
)
def check_calls_end(context, read_s, bound_s):
    for node, read_at_s in enumerate(context.read_s):
        assert read_at_s - context.ended_s <= read_s, read_at_s - context.ended_s
        calls = [
            call.received_s - read_at_s
            for call in context.fleet.runners[0].calls
            if call.call_id.startswith(f"call-{node}-")
        ]
        assert calls, "no call reached the runner"
        late = [after_s for after_s in calls if after_s > bound_s]
        assert not late, f"node {node}: {len(late)} calls, the last after {late[-1]} s"
    check_all_served(context)


def check_all_served(context):
    refused = [status for _, status in context.answers if status != 200]
    assert not refused, f"{len(refused)} of {len(context.answers)}: {set(refused)}"


async def drain(fleet):
    await fleet.register_runner(fleet.runners[0], state="draining")

    def is_done(node):
        return not node.state.table.is_ready(fleet.runners[0].runner_id)

    return is_done


async def evacuate(fleet):
    await fleet.store.put("evacuations", "zone", {})
    return lambda node: bool(node.io.view.evacuations.view.zones)


async def add_key(fleet):
    await fleet.put_state(keys=("key-one", "key-two"))
    version = fleet.version
    return lambda node: node.io.view.routes.state.version == version


CHANGES = {
    "runner 0 drains": drain,
    "the zone is evacuated": evacuate,
    "the operator adds a key": add_key,
}


@when("{change} amid calls")
def apply_change(context, change):
    async def act():
        await asyncio.sleep(SETTLE_S)
        context.is_done = await CHANGES[change](context.fleet)

    context.run(act())


@then("it is in force at each node within {limit_s:g} s")
def check_in_force(context, limit_s):
    nodes = context.fleet.nodes
    context.run(wait_until(lambda: all(map(context.is_done, nodes)), limit_s))


async def outage(context, failure, length_s):
    """Let all calls to the store fail; entries lapse in the last second."""
    fleet = context.fleet
    fleet.store.cut_watches_after_s = None
    fleet.store.fault, fleet.store.faulty_call_interval = FAULTS[failure], 1
    await asyncio.sleep(length_s - 1.0)
    for runner in fleet.runners:
        await fleet.store.remove("servers", runner.runner_id)
    await asyncio.sleep(1.0)
    if hasattr(context, "event"):
        set_event(fleet.store, *context.event)
    else:
        fleet.store.fault = None


async def renew(context, after_s):
    await asyncio.sleep(after_s)
    for runner in context.fleet.runners[:2]:
        await context.fleet.register_runner(runner)
    await asyncio.sleep(3.0)


@when(
    "all calls to the store are {failure} for {length_s:g} s, and entries lapse in its"
    " last second"
)
def given_outage(context, failure, length_s):
    async def act():
        await asyncio.sleep(SETTLE_S)
        await outage(context, failure, length_s)

    context.play = act


@when(
    "outages of {length_s:g} s follow each other {pause_s:g} s apart, {count:d} times,"
    " and entries lapse in the first"
)
def given_outages(context, length_s, pause_s, count):
    async def act():
        await asyncio.sleep(SETTLE_S)
        for number in range(count):
            if number:
                await asyncio.sleep(pause_s)
            await outage(context, "reset", length_s)

    context.play = act


@when("runners 0 and 1 renew their entries {after_s:g} s after it")
def play_outage(context, after_s):
    async def act():
        async with steady_calls(context):
            await context.play()
            await renew(context, after_s)

    context.run(act())


@then("all calls are served, runners 0 and 1 are in use, and runner 2 is not")
def check_served(context):
    check_all_served(context)
    ids = [runner.runner_id for runner in context.fleet.runners]
    for node in context.fleet.nodes:
        ready = [node.state.table.is_ready(runner_id) for runner_id in ids]
        assert ready == [True, True, False], ready


async def read(context, make_call, act):
    """Read at the node's client while ``act`` changes the faults; keep the outcome."""
    fleet = context.fleet
    # The node's own calls would take the fault.
    await fleet.nodes[0].io.store_watcher.__aexit__(None, None, None)
    client = fleet.nodes[0].io.store
    context.listed = await client.list_all("servers")
    context.loop_errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, error: context.loop_errors.append(error)
    )
    fleet.store.fault = StoreFault.SILENT
    reading = asyncio.ensure_future(make_call(client, context.listed.revision))
    await act(fleet.store)
    context.answer = await reading
    await asyncio.sleep(0)


def watch(client, revision):
    return client.watch("servers", revision=revision, wait_ms=300)


@when("the answer to the next {kind} is lost")
def lose_answer(context, kind):
    async def act(store):
        await asyncio.sleep(0.1)
        store.fault = None

    def list_all(client, _):
        return client.list_all("servers")

    make_call = watch if kind == "watch" else list_all
    context.run(read(context, make_call, act))


@when("a watch is reset after it was repeated, before the repetition is answered")
def reset_repeated_watch(context):
    async def act(store):
        store.fault, store.answer_delay_s = StoreFault.RESET, 0.8
        await asyncio.sleep(0.7)
        store.answer_delay_s = 0.15
        await asyncio.sleep(0.15)
        store.fault = None

    context.run(read(context, watch, act))


@then("the read returns without an error")
def check_answer(context):
    assert context.answer.revision >= context.listed.revision, context.answer
    assert not context.loop_errors, context.loop_errors


@when("the node has closed its connections to the store, and reads it")
def read_when_closed(context):
    store = context.fleet.nodes[0].io.store

    async def act():
        await store.__aexit__(None, None, None)
        try:
            await store.list_all("servers")
        except Exception as error:
            context.error = error

    context.run(act())


@then("the read fails as a call to the store")
def check_store_error(context):
    assert isinstance(context.error, StoreError), context.error
