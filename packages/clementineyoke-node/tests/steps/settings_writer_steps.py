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
    keeper = SettingsReplica(
        objects=context.objects,
        peers=NoPeers(),
        has_watch_duty=lambda: True,
        has_snapshot_duty=lambda: True,
    )
    writer = SettingsWriter(
        objects=context.objects, settings=keeper, author_node="node-1"
    )
    return keeper, writer


@given("settings at version 1")
def given_settings(context):
    context.objects = MemoryObjectApi(delay_ms=2.0)
    context.keeper, context.writer = make_writer(context)
    body = make_body({"/": {"rate_per_s": 10}}, based_on=0)
    context.run(context.writer.commit(body, wall_ms=0))
    assert context.keeper.log.version == 1


@when("two operators commit changes based on version 1 at once")
def race(context):
    async def run():
        _, other = make_writer(context)
        commits = [
            context.writer.commit(make_body({"/a": {"priority": 1}}), wall_ms=0),
            other.commit(make_body({"/b": {"priority": 2}}), wall_ms=0),
        ]
        context.results = await asyncio.gather(*commits, return_exceptions=True)

    context.run(run())


@then("one is accepted and the other is shown the conflict")
def check_race(context):
    accepted = [r for r in context.results if not isinstance(r, Exception)]
    refused = [r for r in context.results if isinstance(r, SettingsError)]
    assert len(accepted) == len(refused) == 1, context.results
    context.accepted = accepted[0]
    text = f"{refused[0]} {refused[0].details}"
    assert next(iter(context.accepted.edits)) in text, text


@then("the accepted one is in force")
def check_in_force(context):
    context.run(context.keeper.refresh())
    assert context.keeper.log.version == 2
    path = next(iter(context.accepted.edits))
    own = context.keeper.log.tree.own_values(path)
    assert own == context.accepted.edits[path]


@when("the reply of a commit is lost")
def lose_reply(context):
    context.objects.lost_replies = 1
    body = make_body({"/a": {"priority": 1}})
    context.change = context.run(context.writer.commit(body, wall_ms=0))


@then("the change is reported as accepted")
def check_accepted(context):
    assert context.change.version == 2
    assert context.keeper.log.tree.own_values("/a") == {"priority": 1}


@when("a change with one good and one bad path is committed")
def commit_bad(context):
    body = make_body({"/a": {"priority": 1}, "/b": {"priority": 99}})
    try:
        context.run(context.writer.commit(body, wall_ms=0))
    except SettingsError as error:
        context.error = error


@then("it is refused as a whole with the path of the fault")
def check_bad(context):
    assert "/b priority" in context.error.details[0]
    assert context.keeper.log.version == 1
    assert context.keeper.log.tree.own_values("/a") is None


@when("a change is only compared")
def compare(context):
    context.diffs = context.writer.diff(make_body({"/": {"rate_per_s": 20}}))


@then("the difference is shown and version 1 stays in force")
def check_diff(context):
    diff = context.diffs[0]
    shown = (diff.path, diff.before, diff.after)
    assert shown == ("/", {"rate_per_s": 10}, {"rate_per_s": 20})
    assert context.keeper.log.version == 1


class OnePeer:
    """A peer that answers from its log, as a node's operator port does."""

    def __init__(self, log):
        self.log = log

    async def fetch(self, node, *, after):
        return self.log.changes_after(after)

    async def fetch_snapshot(self, node):
        return self.log.snapshot()


async def commit_many(context, count):
    for _ in range(count):
        version = context.keeper.log.version
        edits = {f"/group/team-{version % 40}": {"rate_per_s": version}}
        body = make_body(edits, based_on=version)
        await context.writer.commit(body, wall_ms=0)


@when("{count:d} more changes are committed and a snapshot is written")
def commit_and_snapshot(context, count):
    context.objects.delay_ms = 0.0

    async def run():
        await commit_many(context, count)
        await context.keeper.write_snapshot()

    context.run(run())
    context.old = context.keeper.log.snapshot()


@when("{count:d} more changes are committed and the platform goes away")
def commit_and_away(context, count):
    context.objects.delay_ms = 0.0
    context.run(commit_many(context, count))
    context.objects.is_away = True


@when("{count:d} more changes are committed")
def commit_more(context, count):
    context.run(commit_many(context, count))


@then("a new node has version {version:d} after {calls:d} calls to the platform")
def check_start(context, version, calls):
    keeper, _ = make_writer(context)
    before = context.objects.calls
    context.run(keeper.refresh())
    assert keeper.log.version == version
    assert context.objects.calls - before <= calls, context.objects.calls - before
    assert keeper.log.tree.packed() == context.keeper.log.tree.packed()


@then("a new node that hears of a peer has version {version:d} and the same tree")
def check_peer_start(context, version):
    async def run():
        keeper = SettingsReplica(
            objects=context.objects,
            peers=OnePeer(context.keeper.log),
            has_watch_duty=lambda: True,
            has_snapshot_duty=lambda: False,
        )
        async with keeper:
            peer = Node("peer", "127.0.0.1", 1, 2, "zone", "region")
            keeper.fetch_newer(peer, version)
            async with asyncio.timeout(10):
                await keeper.ready.wait()
        return keeper

    keeper = context.run(run())
    assert keeper.log.version == version
    assert keeper.log.tree.packed() == context.keeper.log.tree.packed()


@then("restoring the snapshot leaves version {version:d} in force")
def check_old(context, version):
    assert not context.keeper.log.restore(context.old)
    assert context.keeper.log.version == version
