from __future__ import annotations

import asyncio
import time
from random import Random

from behave import given, then, when
from edge_fleet import POOL, EdgeFleet
from edge_steps import LAPSE_AFTER_S, wait_until

from clementineyoke_core.cold_runners import ColdRunners
from clementineyoke_core.edge.runner_directory import (
    DirectoryChanges,
    DirectoryView,
    RunnerRemoval,
)
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.edge.store_freshness import StoreFreshness
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_node.edge.fleet_view import FleetView
from clementineyoke_node.edge.update_broadcaster import UpdateBroadcaster
from clementineyoke_node.node_state import choose_watchers
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerMessage
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.edge.edge_store import StoreFault
from clementineyoke_standins.edge.written_specs import runner_spec
from clementineyoke_wire.messages import RemovalNote, StoreNews


@given("a fleet of {nodes:d} nodes and {runners:d} runner whose nodes know each other")
def given_connected_fleet(context, nodes, runners):
    fleet = EdgeFleet(nodes=nodes, runners=runners)
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    memberships = [node.state.membership for node in fleet.nodes]

    async def settle():
        await wait_until(lambda: all(len(m.alive()) == nodes for m in memberships), 5)
        # Watches that began before the nodes knew each other end in this time.
        await asyncio.sleep(1.2)

    context.run(settle())
    context.calls_before = [node.io.store.calls for node in fleet.nodes]


@then("all nodes reject the key within {limit:d} s")
def check_all_reject(context, limit):
    for number in range(len(context.fleet.nodes)):
        context.run(wait_for_rejection(context, number, limit))


@then("node {number:d} rejects the key within {limit:d} s")
def check_rejects(context, number, limit):
    context.run(wait_for_rejection(context, number, limit))


async def wait_for_rejection(context, number, limit):
    ends = time.monotonic() + limit
    while (await context.fleet.call("idempotent", number=number))[0] != 401:
        assert time.monotonic() < ends, f"node {number} still accepts the key"
        await asyncio.sleep(0.02)


@then("nodes 2 and 3 have made no further store calls")
def check_no_store_calls(context):
    calls = [node.io.store.calls for node in context.fleet.nodes]
    assert calls[2:] == context.calls_before[2:], (calls, context.calls_before)


@when("node {number:d} restarts")
def restart(context, number):
    async def act():
        fleet = context.fleet
        await fleet.nodes.pop(number).__aexit__(None, None, None)
        fleet.stop_tasks.pop(number).cancel()
        fleet.store.calls.clear()
        context.started = await fleet.start_node(number, wait=False)

    context.run(act())


@then("it is ready within {limit:d} s")
def check_ready_in_time(context, limit):
    context.run(asyncio.wait_for(context.started.io.view.ready.wait(), limit))


@then("it has called the store once, for a list that may be stale")
def check_one_store_call(context):
    context.run(asyncio.sleep(0.5))  # twice PEER_HANDOVER_TIMEOUT_MS
    assert context.started.io.store.calls == 1, context.fleet.store.calls
    assert sum("allowStale=1" in call for call in context.fleet.store.calls) == 1


@given("{count:d} nodes in {zones:d} zones, and {first} and {second} are the largest")
def given_nodes_in_zones(context, count, zones, first, second):
    large = {first, second}
    nodes = [
        Node(name, "127.0.0.1", 1, n + 1, f"zone-{n % zones}", "region", calls_per_s)
        for n, name in enumerate(f"node-{n}" for n in range(count))
        for calls_per_s in (430 if name in large else 100,)
    ]
    context.watchers = choose_watchers(nodes)


@then("{first} and {second} are watchers, with {others:d} others")
def check_watchers(context, first, second, others):
    assert {first, second} <= context.watchers
    assert len(context.watchers) == others + 2


async def put_runner(context, state="ready"):
    spec = runner_spec(pool=POOL, address="127.0.0.1:9", zone="zone", state=state)
    await context.fleet.store.put("servers", "runner-new", spec)


def find_runner(context, number):
    return context.fleet.nodes[number].state.table.get("runner-new")


@when("a runner's entry is added, marked as draining and removed")
def change_runner(context):
    async def act():
        applied = []
        await put_runner(context)
        await wait_until(lambda: find_runner(context, 3) is not None, 1)
        applied.append("came")
        await put_runner(context, state="draining")
        table = context.fleet.nodes[3].state.table
        await wait_until(lambda: not table.is_ready("runner-new"), 1)
        applied.append("leaves")
        await context.fleet.store.remove("servers", "runner-new")
        await wait_until(lambda: find_runner(context, 3) is None, 1)
        applied.append("ended")
        return applied

    context.applied = context.run(act())


@then("node 3 has applied each of the three changes")
def check_applied(context):
    assert context.applied == ["came", "leaves", "ended"]


@when("nodes 0 and 1 stop receiving store updates")
def stop_watchers(context):
    async def act():
        for node in context.fleet.nodes[:2]:
            await node.io.store_watcher.__aexit__(None, None, None)

    context.run(act())


@when("node 2 misses the update that adds a runner")
def miss_update(context):
    async def act():
        socket = context.fleet.nodes[2].io.socket
        handler = socket._handlers[StoreNews]
        socket.handle(StoreNews, lambda _: None)
        await put_runner(context)
        await wait_until(lambda: find_runner(context, 1) is not None, 1)
        socket.handle(StoreNews, handler)

    context.run(act())


@then("node 2 knows the runner within {limit:d} s")
def check_knows(context, limit):
    context.run(wait_until(lambda: find_runner(context, 2) is not None, limit))


@when("the runner's entry expires in an outage that all nodes notice, and it ends")
def expire_in_outage(context):
    async def act():
        fleet = context.fleet
        watchers = [node.io.store_watcher for node in fleet.nodes]
        fleet.store.fault = StoreFault.UNAVAILABLE
        lapses = asyncio.ensure_future(asyncio.sleep(LAPSE_AFTER_S))
        # Entries expire later than a node notices that the store does not answer.
        await wait_until(
            lambda: all("servers" in w._unreachable_kinds for w in watchers), 5
        )
        await lapses
        await fleet.store.remove("servers", "runner-0")
        fleet.store.fault = None
        await wait_until(lambda: not any(w._unreachable_kinds for w in watchers), 3)

    context.run(act())


@then("calls at node 3 are still served")
def check_node_serves(context):
    answer = context.run(context.fleet.call("idempotent", number=3, call_id="c3"))
    assert answer[0] == 200, answer


@when("the store refuses the next call of node {number:d} for the runners")
def refuse_next_call(context, number):
    async def act():
        watcher = context.fleet.nodes[number].io.store_watcher
        context.fleet.store.fault = StoreFault.UNAVAILABLE
        await wait_until(lambda: "servers" in watcher._unreachable_kinds, 5)
        context.fleet.store.fault = None

    context.run(act())


@then("node {number:d} has read the runners within {limit_ms:d} ms")
def check_has_read(context, number, limit_ms):
    watcher = context.fleet.nodes[number].io.store_watcher
    has_read = wait_until(
        lambda: "servers" not in watcher._unreachable_kinds, limit_ms / 1000
    )
    context.run(has_read)


class SocketRecorder:
    def __init__(self):
        self.sent = []
        self.handlers = {}

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send_all(self, peers, message):
        self.sent.append(message)


def make_node(number):
    return Node(f"node-{number}", "127.0.0.1", 1, number, "zone", "region")


def make_watcher(context, view):
    membership = Membership(local_node=make_node(0), incarnation=1, rng=Random(1))
    membership.add(make_node(1))
    context.socket = SocketRecorder()
    context.runner_table = RunnerTable()
    context.view = FleetView(
        table=context.runner_table,
        cold_runners=ColdRunners(),
        timers=TimerService(),
        freshness=StoreFreshness(bound_ms=2_000),
        drain_within_ms=2_000,
        follows_evacuations=False,
        on_runners_changed=lambda: None,
        on_update=lambda changes: context.broadcaster.broadcast(changes),
    )
    context.broadcaster = UpdateBroadcaster(
        socket=context.socket,
        membership=membership,
        view=context.view,
        on_newer_revision=lambda node: None,
    )
    context.view.apply_runners(view, source="peer")
    context.socket.sent.clear()


@given("a watcher that has the runners up to revision {revision:d} from a peer")
def given_watcher_with_revision(context, revision):
    make_watcher(context, DirectoryView(revision, ()))


@given("a watcher that knows a runner, after a store outage")
def given_watcher_after_outage(context):
    runner = Runner("runner", "", 1, "zone", "region", RunnerKind.SERVICE, POOL, 8)
    record = RunnerRecord(runner, is_leaving=False, revision=1)
    make_watcher(context, DirectoryView(10, (record,)))
    context.view.record_store_failure(unanswered_ms=LAPSE_AFTER_S * 1000.0)
    context.view.record_store_recovery()


@given("a node to which two watchers report a removed runner, the first as expired")
def given_two_reports(context):
    runner = Runner("runner", "", 1, "zone", "region", RunnerKind.SERVICE, POOL, 8)
    record = RunnerRecord(runner, is_leaving=False, revision=1)
    make_watcher(context, DirectoryView(10, (record,)))
    for wait_ms in (2_000, 0):
        note = RemovalNote("runner", 12, wait_ms, born_ms=0, is_refused=False)
        message = StoreNews(0, 60_000, 10, 12, 60_000, [], [note])
        peer = PeerAddress("127.0.0.1", 1)
        context.socket.handlers[StoreNews](PeerMessage(peer, 1, message))


@then("it no longer knows the runner")
def check_runner_unknown(context):
    assert context.runner_table.get("runner") is None


@when("its own watch returns the removal of the runner's entry")
def watch_returns_removal(context):
    changes = DirectoryChanges(10, 12, (), (RunnerRemoval("runner", 12),))
    context.view.apply_runner_changes(changes, source="watch")


@then("the update says that the entry may have expired")
def check_may_have_expired(context):
    (message,) = context.socket.sent
    assert message.removals[0].wait_ms > 0, message


@when("its own watch returns the changes from {base:d} to {revision:d}")
def watch_returns_changes(context, base, revision):
    removal = RunnerRemoval("runner", revision)
    changes = DirectoryChanges(base, revision, (), (removal,))
    context.view.apply_runner_changes(changes, source="watch")


@then("the changes that it broadcasts end at revision {revision:d}")
def check_broadcast_revision(context, revision):
    (message,) = context.socket.sent
    assert len(message.removals) == 1
    assert message.runners_version == revision, message


@when("a peer reports a removed runner as expired to node 0, between two watches")
def report_removal_between_watches(context):
    async def act():
        fleet = context.fleet
        node, peer = fleet.nodes
        await put_runner(context)
        await wait_until(lambda: find_runner(context, 0) is not None, 1)
        revision = fleet.store.revision
        note = RemovalNote(
            "runner-new", revision + 1, wait_ms=2_000, born_ms=0, is_refused=False
        )
        message = StoreNews(0, 60_000, revision, revision + 1, 60_000, [], [note])
        sender = PeerAddress.of(peer.state.membership.local_node)
        node.io.socket._handlers[StoreNews](PeerMessage(sender, 1, message))
        # The watch in progress ends, and the next one begins.
        await asyncio.sleep(0.1)
        node.io.store_watcher._interrupts["servers"].set()
        await asyncio.sleep(0.1)
        await fleet.store.remove("servers", "runner-new")

    context.run(act())


@then("node 0 drops the runner within {limit:d} s")
def check_runner_dropped(context, limit):
    context.run(wait_until(lambda: find_runner(context, 0) is None, limit))
