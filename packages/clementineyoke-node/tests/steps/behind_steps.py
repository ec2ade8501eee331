from __future__ import annotations

import asyncio

from behave import given, when
from edge_steps import wait_until
from runner_restarts_steps import FIRST_EVENT_S
from versions_steps import Reader

from clementineyoke_wire.messages import StoreNews


@given("no messages about runners reach node {number:d}")
def lose_news(context, number):
    socket = context.fleet.nodes[number].io.socket
    socket.handle(StoreNews, lambda _: None)


@when(
    'runner 0 restarts at version "{version}" at once, and {count:d} calls reach it'
    " before its old entry ends"
)
def end_entry_amid_calls(context, version, count):
    fleet = context.fleet
    runner, other = fleet.runners
    context.readers = [Reader(fleet, f"early-{n}") for n in range(count)]

    async def act():
        runner.crash()
        runner.version = version
        runner.stream_delay_s = FIRST_EVENT_S
        runner.break_every, other.break_every = 1, 0
        await runner.start()
        reads = [asyncio.ensure_future(reader.read(0)) for reader in context.readers]
        await wait_until(lambda: runner.calls, 5)
        await fleet.store.remove("servers", runner.runner_id)
        table = fleet.nodes[0].state.table
        await wait_until(lambda: table.get(runner.runner_id) is None, 5)
        await asyncio.gather(*reads)

    context.run(act())
    assert any(reader.events for reader in context.readers)
