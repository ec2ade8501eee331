from __future__ import annotations

import asyncio

from behave import given, then, when

from clementineyoke_core.node import Node
from clementineyoke_node.settings.settings_error import SettingsError
from clementineyoke_node.settings.settings_replica import SettingsReplica
from clementineyoke_node.settings.settings_writer import SettingsWriter
from clementineyoke_standins.bench.memory_object_api import MemoryObjectApi


class NoPeers:
    async def fetch(self, node, *, after):
        return []


def make_body(edits, based_on=1, dry_run=False):
    return {
        "author": "operator",
        "note": "note",
        "based_on": based_on,
        "dry_run": dry_run,
        "edits": edits,
    }


def make_writer(context):
    replica = SettingsReplica(
        objects=context.objects,
        peers=NoPeers(),
        is_watcher=lambda: True,
        is_snapshot_writer=lambda: True,
    )
    writer = SettingsWriter(
        objects=context.objects, settings=replica, author_node="node-1"
    )
    return replica, writer


@given("settings at version 1")
def given_settings(context):
    context.objects = MemoryObjectApi(delay_ms=2.0)
    context.replica, context.writer = make_writer(context)
    body = make_body({"/": {"rate_per_s": 10}}, based_on=0)
    context.run(context.writer.commit(body, wall_ms=0))
    assert context.replica.log.version == 1


@when("two operators commit changes based on version 1 at once")
def commit_concurrently(context):
    async def run():
        _, other = make_writer(context)
        commits = [
            context.writer.commit(make_body({"/a": {"priority": 1}}), wall_ms=0),
            other.commit(make_body({"/b": {"priority": 2}}), wall_ms=0),
        ]
        context.results = await asyncio.gather(*commits, return_exceptions=True)

    context.run(run())


@then("one is accepted and the other gets a conflict error")
def check_conflict(context):
    accepted = [r for r in context.results if not isinstance(r, Exception)]
    refused = [r for r in context.results if isinstance(r, SettingsError)]
    assert len(accepted) == len(refused) == 1, context.results
    context.accepted = accepted[0]
    text = f"{refused[0]} {refused[0].details}"
    assert next(iter(context.accepted.edits)) in text, text


@then("the accepted one is in force")
def check_in_force(context):
    context.run(context.replica.refresh())
    assert context.replica.log.version == 2
    path = next(iter(context.accepted.edits))
    own = context.replica.log.tree.own_values(path)
    assert own == context.accepted.edits[path]


@when("the reply to a commit is lost")
def lose_reply(context):
    context.objects.lost_replies = 1
    body = make_body({"/a": {"priority": 1}})
    context.change = context.run(context.writer.commit(body, wall_ms=0))


@then("the change is reported as accepted")
def check_accepted(context):
    assert context.change.version == 2
    assert context.replica.log.tree.own_values("/a") == {"priority": 1}


@when("a change with one valid and one invalid path is committed")
def commit_invalid(context):
    body = make_body({"/a": {"priority": 1}, "/b": {"priority": 99}})
    try:
        context.run(context.writer.commit(body, wall_ms=0))
    except SettingsError as error:
        context.error = error


@then("it is rejected completely with the invalid path")
def check_rejected(context):
    assert "/b priority" in context.error.details[0]
    assert context.replica.log.version == 1
    assert context.replica.log.tree.own_values("/a") is None


@when("a change is only compared")
def compare(context):
    context.diffs = context.writer.diff(make_body({"/": {"rate_per_s": 20}}))


@then("the difference is shown and version 1 stays in force")
def check_diff(context):
    diff = context.diffs[0]
    shown = (diff.path, diff.before, diff.after)
    assert shown == ("/", {"rate_per_s": 10}, {"rate_per_s": 20})
    assert context.replica.log.version == 1


class OnePeer:
    """A peer that serves changes and snapshots from its log, as a node does."""

    def __init__(self, log):
        self.log = log

    async def fetch(self, node, *, after):
        return self.log.changes_after(after)

    async def fetch_snapshot(self, node):
        return self.log.snapshot()


async def commit_many(context, count):
    for _ in range(count):
        version = context.replica.log.version
        edits = {f"/group/team-{version % 40}": {"rate_per_s": version}}
        body = make_body(edits, based_on=version)
        await context.writer.commit(body, wall_ms=0)


@when("{count:d} more changes are committed and a snapshot is written")
def commit_and_snapshot(context, count):
    context.objects.delay_ms = 0.0

    async def run():
        await commit_many(context, count)
        await context.replica.write_snapshot()

    context.run(run())
    context.old_snapshot = context.replica.log.snapshot()


@when("{count:d} more changes are committed and the platform becomes unavailable")
def commit_before_outage(context, count):
    context.objects.delay_ms = 0.0
    context.run(commit_many(context, count))
    context.objects.is_unavailable = True


@when("{count:d} more changes are committed")
def commit_more(context, count):
    context.run(commit_many(context, count))


@then("a new node has version {version:d} after {calls:d} calls to the platform")
def check_start(context, version, calls):
    replica, _ = make_writer(context)
    before = context.objects.calls
    context.run(replica.refresh())
    assert replica.log.version == version
    assert context.objects.calls - before <= calls, context.objects.calls - before
    assert replica.log.tree.packed() == context.replica.log.tree.packed()


@then("a new node that learns of a peer has version {version:d} and the same tree")
def check_peer_start(context, version):
    async def run():
        replica = SettingsReplica(
            objects=context.objects,
            peers=OnePeer(context.replica.log),
            is_watcher=lambda: True,
            is_snapshot_writer=lambda: False,
        )
        async with replica:
            peer = Node("peer", "127.0.0.1", 1, 2, "zone", "region")
            replica.fetch_newer(peer, version)
            async with asyncio.timeout(10):
                await replica.ready.wait()
        return replica

    replica = context.run(run())
    assert replica.log.version == version
    assert replica.log.tree.packed() == context.replica.log.tree.packed()


@then("restoring the snapshot leaves version {version:d} in force")
def check_outdated(context, version):
    assert not context.replica.log.restore(context.old_snapshot)
    assert context.replica.log.version == version
