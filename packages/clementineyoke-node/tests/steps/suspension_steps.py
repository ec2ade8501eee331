from __future__ import annotations

import asyncio
import time

from behave import when
from edge_steps import wait_until
from versions_steps import READ_ENDS_S, begin_streams, hold_watches, ids, prepare_runner

from clementineyoke_standins.edge.edge_runner import EdgeRunner
from clementineyoke_wire.messages import StoreNews, StreamNews


def skip_steady(context, skipped_s):
    """Set the steady clock back, as if it had not counted a time that has passed."""
    steady = time.monotonic
    context.add_cleanup(setattr, time, "monotonic", steady)
    time.monotonic = lambda: steady() - skipped_s


async def start_unseen(fleet, version, count):
    """Start runners that node 0 learns of, and node 1 does not."""
    for number in range(count):
        runner = EdgeRunner(runner_id=f"runner-{version}-{number}", version=version)
        prepare_runner(runner)
        await fleet._stack.enter_async_context(runner)
        fleet.runners.append(runner)
        await fleet.register_runner(runner)
    expected = {runner.runner_id for runner in fleet.runners}
    await wait_until(lambda: ids(fleet.nodes[0]) == expected, 5)


def lose_news(node):
    """Let nothing about runners and streams reach a node, as while it is suspended."""
    hold_watches(node)
    node.io.peers.fetch = lambda *_, **__: None
    for news in (StoreNews, StreamNews):
        node.io.socket.handle(news, lambda _: None)


@when(
    "node 1 {waits} for {length_s:g} s and is cut off, while {count:d} runners of"
    ' "{version}" start and begin {streams:d} streams that break'
)
def wait_amid_release(context, waits, length_s, count, version, streams):
    first, second = context.fleet.nodes
    archive = second.io.stream_components._version_archive
    context.run(wait_until(lambda: archive._written, 2))
    lose_news(second)
    if waits == "hears of no peer":
        mute(first)
    started_s = time.monotonic()
    context.run(asyncio.sleep(READ_ENDS_S))
    context.run(start_unseen(context.fleet, version, count))
    begin_streams(context, streams, 0)
    left_s = length_s - (time.monotonic() - started_s)
    context.run(asyncio.sleep(max(0.0, left_s)))
    if waits == "is suspended":
        skip_steady(context, time.monotonic() - started_s)
    mute(first)


def mute(node):
    node.io.socket.send_all = node.io.socket.send = lambda *_: None
