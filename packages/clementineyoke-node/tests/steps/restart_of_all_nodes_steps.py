from __future__ import annotations

import asyncio
from random import Random

from behave import given, then, when
from versions_steps import (
    Reader,
    await_runners,
    kill_node,
    move_route,
    prepare_runner,
    route_to,
)

from clementineyoke_core.edge.streams.pool_versions import PoolVersions
from clementineyoke_standins.edge.edge_runner import EVENTS, EdgeRunner
from clementineyoke_standins.edge.edge_store import StoreFault

TRIES = 3
TRY_PAUSE_S = 0.02
NEW_STREAMS = 40
MAX_DOWN_S = 8.0
CARRY_S = 1.0
"""Time from the first stream, or from the move of a route, until all nodes end."""
MIN_RESUMED = 12
RELEASE_S = 0.25
"""Time from a release until all nodes end."""


@given("the runners stream for {length_s:g} s")
def given_stream_length(context, length_s):
    context.event_pause_s = length_s / EVENTS
    for runner in context.fleet.runners:
        runner.event_pause_s = context.event_pause_s


async def replace_runners(context, version, count):
    """Replace the first runners of another version; the old ones end."""
    fleet = context.fleet
    old = [runner for runner in fleet.runners if runner.version != version][:count]
    for runner in old:
        name = f"{runner.runner_id}-{version}"
        new = EdgeRunner(runner_id=name, version=version)
        prepare_runner(new)
        new.event_pause_s = getattr(context, "event_pause_s", 0.0)
        await fleet._stack.enter_async_context(new)
        fleet.runners.append(new)
        await fleet.register_runner(new)
        await fleet.register_runner(runner, state="draining")
        await fleet.store.remove("servers", runner.runner_id)
        fleet.runners.remove(runner)


async def end_all(context):
    fleet = context.fleet
    nodes, fleet.nodes = fleet.nodes, []
    for node in nodes:
        node.io.socket.send_all = lambda *_: None
    await asyncio.gather(*(node.__aexit__(None, None, None) for node in nodes))
    for task in fleet.stop_tasks:
        task.cancel()


async def start_all(context, count, *, late=()):
    for number in range(count):
        if number not in late:
            await context.fleet.start_node(number, wait=False)


async def go_on(context, reader, rng, count):
    """Send the call for a stream up to three times, once a node takes it."""
    ends_s = asyncio.get_running_loop().time() + MAX_DOWN_S
    tries = 0
    while tries < TRIES:
        attempt = await reader.read(rng.randrange(count))
        if attempt.status == 0 and not attempt.events:
            assert asyncio.get_running_loop().time() < ends_s, "no node is up"
        else:
            tries += 1
        if attempt.succeeded:
            return True
        await asyncio.sleep(TRY_PAUSE_S)
    return False


async def play(
    context,
    *,
    streams,
    before=None,
    before_s=0.0,
    during=None,
    late=(),
    waits_until_ready=False,
):
    fleet, rng = context.fleet, Random(int(context.config.userdata.get("seed", 1)))
    count = len(fleet.nodes)
    context.readers = [Reader(fleet, f"stream-{n}") for n in range(streams)]
    await asyncio.sleep(0.5)
    if before_s >= CARRY_S:
        await before()
        await asyncio.sleep(before_s - CARRY_S)

    async def begin(reader):
        await asyncio.sleep(rng.uniform(0.0, 0.4))
        await reader.read(rng.randrange(count))

    begun = [asyncio.ensure_future(begin(reader)) for reader in context.readers]
    if 0.0 < before_s < CARRY_S:
        await asyncio.sleep(CARRY_S - before_s)
        await before()
        await asyncio.sleep(before_s)
    else:
        await asyncio.sleep(CARRY_S)
    await end_all(context)
    await asyncio.gather(*begun)
    if during is not None:
        await during()
    await asyncio.sleep(0.5)
    await start_all(context, count, late=late)
    if waits_until_ready:
        ready = (node.io.view.ready.wait() for node in fleet.nodes)
        await asyncio.wait_for(asyncio.gather(*ready), MAX_DOWN_S)
    broken = [r for r in context.readers if r.events and not r.is_complete]
    new = [Reader(fleet, f"new-{n}") for n in range(NEW_STREAMS)]
    resumed = [
        asyncio.ensure_future(go_on(context, reader, rng, count)) for reader in broken
    ]
    started = [
        asyncio.ensure_future(go_on(context, reader, rng, count)) for reader in new
    ]
    if late:
        await asyncio.sleep(1.0)
        for number in late:
            await fleet.start_node(number, wait=False)
    context.resumed = await asyncio.gather(*resumed)
    context.began_new = await asyncio.gather(*started)
    context.readers = [*context.readers, *new]


@when("all nodes end for 0.5 s amid {streams:d} streams, and {change}")
def end_amid_streams(context, streams, change):
    half, everyone = len(context.fleet.runners) // 2, len(context.fleet.runners)
    store = context.fleet.store

    def replace(count):
        return lambda: replace_runners(context, "v2", count)

    async def slow_store():
        store.answer_delay_s = 0.2

    async def lose_store():
        store.fault = StoreFault.SILENT

    def get_back():
        store.fault = None

    async def lose_for_longer():
        await lose_store()
        asyncio.get_running_loop().call_later(1.5, get_back)

    async def replace_and_get_back():
        await replace(everyone)()
        asyncio.get_running_loop().call_later(1.5, get_back)

    options = {
        "nothing else happens": {},
        'half of the runners were replaced by "v2" 1.2 s before': {
            "before": replace(half),
            "before_s": 1.2,
        },
        'half of the runners were replaced by "v2" 0.25 s before': {
            "before": replace(half),
            "before_s": 0.25,
        },
        'all runners were replaced by "v2" 0.25 s before': {
            "before": replace(everyone),
            "before_s": 0.25,
        },
        'all runners are replaced by "v2" meanwhile': {"during": replace(everyone)},
        'half were replaced by "v2" 1.2 s before, half are meanwhile': {
            "before": replace(half),
            "before_s": 1.2,
            "during": replace(half),
        },
        "the store is slow": {"during": slow_store},
        "the store is away for 1 s more": {
            "during": lose_for_longer,
            "waits_until_ready": True,
        },
        'the store is away from 1 s before, all are replaced by "v2"': {
            "before": lose_store,
            "before_s": 1.0,
            "during": replace_and_get_back,
            "waits_until_ready": True,
        },
        "node 3 starts 1 s later": {"late": (3,)},
    }[change]
    context.run(play(context, streams=streams, **options))


@when('all nodes end amid {streams:d} streams after each release of "{versions}"')
def end_after_each_release(context, streams, versions):
    everyone = len(context.fleet.runners)
    readers = []
    for version in versions.split(", "):

        async def release(version=version):
            await replace_runners(context, version, everyone)

        context.run(play(context, streams=streams, before=release, before_s=RELEASE_S))
        assert len(context.resumed) >= MIN_RESUMED, len(context.resumed)
        readers += context.readers
    context.readers = readers


@then("streams go on at least {share:g} times as often as new ones begin")
def check_resumed_share(context, share):
    resumed, new = context.resumed, context.began_new
    assert len(resumed) >= MIN_RESUMED, len(resumed)
    resumed_share, new_share = sum(resumed) / len(resumed), sum(new) / len(new)
    assert new_share > 0.5, new_share
    tries = [t for r in context.readers for t in r.tries if t.is_resumption]
    refused = {(t.status, t.body) for t in tries if not t.succeeded}
    assert resumed_share >= share * new_share, (resumed_share, new_share, refused)


@when("callers resume the streams while new ones hold all slots for {hold_s:g} s")
def resume_without_slots(context, hold_s):
    fleet = context.fleet
    for runner in fleet.runners:
        runner.event_pause_s = hold_s / EVENTS
    new = [Reader(fleet, f"new-{n}") for n in range(NEW_STREAMS)]

    async def act():
        reads = [asyncio.ensure_future(reader.read(0)) for reader in new]
        await asyncio.sleep(hold_s / 4)
        context.attempts = await asyncio.gather(*(r.read(0) for r in context.readers))
        await asyncio.gather(*reads)

    context.run(act())
    refused = [reader for reader in new if reader.tries[0].status == 503]
    assert refused, "the new streams left slots free"


@then("each stream went on at its first try")
def check_first_try(context):
    refused = [attempt for attempt in context.attempts if not attempt.succeeded]
    assert not refused, f"{len(refused)} of {len(context.attempts)}: {refused[:2]}"


@when('all runners are replaced by "{version}"')
def replace_all(context, version):
    context.run(replace_runners(context, version, len(context.fleet.runners)))
    await_runners(context)


@when("the nodes are restarted one by one")
def restart_one_by_one(context):
    for number in range(len(context.fleet.nodes)):
        kill_node(context, 0)
        context.run(context.fleet.start_node(number))


async def restart_at_once(context, *, meanwhile=None):
    fleet = context.fleet
    numbers = range(len(fleet.nodes))
    await end_all(context)
    if meanwhile is not None:
        await meanwhile()
    await asyncio.gather(*map(fleet.start_node, numbers))
    fleet.nodes.sort(key=lambda node: node.state.config.node_id)


@when("all nodes end and start at once")
def end_and_start(context):
    context.run(restart_at_once(context))


@when("the route of streams moves, and all nodes end")
def move_and_end(context):
    move_route(context)
    context.run(asyncio.sleep(CARRY_S))
    end_and_start(context)


@when("the route of streams moves while all nodes are down")
def move_while_down(context):
    fleet = context.fleet

    async def move():
        await fleet.put_state(*route_to(fleet, service=fleet.pools[-1]))

    context.run(restart_at_once(context, meanwhile=move))


@when("the route of streams moves, and nodes restart one by one")
def move_and_restart(context):
    move_route(context)
    context.run(asyncio.sleep(CARRY_S))
    restart_one_by_one(context)


@when('node 0 ends, and all runners are replaced by "{version}" meanwhile')
def replace_while_down(context, version):
    async def act():
        await end_all(context)
        await replace_runners(context, version, len(context.fleet.runners))
        await context.fleet.start_node(0)

    context.run(act())


@then('no node takes the streams for those of "{version}"')
def check_none_joined(context, version):
    async def act():
        for reader in context.readers:
            await reader.read(0)

    context.run(act())
    joined = [r.events for r in context.readers if len(r.versions) > 1]
    assert not joined, f"{len(joined)} of {len(context.readers)}: {joined[:2]}"


@then("at least {share:g} of the streams go on")
def check_most_go_on(context, share):
    whole = sum(reader.is_complete for reader in context.readers)
    assert whole >= share * len(context.readers), whole


@given('a node whose list has runners of "{version}"')
def given_list(context, version):
    context.peer = PoolVersions()
    context.peer.update({"pool": [version]}, now_ms=0.0)


@when('a starting node hears from it, and lists runners of "{version}" alone')
def hear(context, version):
    context.started = PoolVersions()
    context.started.adopt(context.peer.history(now_ms=30_000.0), now_ms=30_000.0)
    context.started.update({"pool": [version]}, now_ms=30_100.0)


@then("the starting node takes the pool for mixed")
def check_mixed(context):
    assert context.started.is_mixed("pool", now_ms=30_100.0)
