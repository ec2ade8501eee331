from __future__ import annotations

import asyncio
from collections import defaultdict
from contextlib import asynccontextmanager

from behave import then, when
from edge_steps import wait_until
from returns.result import Failure
from runner_restarts_steps import BORN_MS
from versions_steps import Reader, ids

from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.slot_ledger import SlotRefusal
from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
from clementineyoke_node.slots.slot_broker import SlotBroker


def hold_sends(context, go):
    """Hold calls between the choice of their runners and their connections."""
    send, held = RunnerConnectionPool.send, defaultdict(set)

    @asynccontextmanager
    async def send_late(pool, runner, call, *args, **options):
        if not go.is_set():
            held[runner.runner_id].add(is_new(call.call_id))
            await go.wait()
        async with send(pool, runner, call, *args, **options) as response:
            yield response

    RunnerConnectionPool.send = send_late
    context.add_cleanup(setattr, RunnerConnectionPool, "send", send)
    return held


def is_new(call_id):
    return call_id.startswith("held")


async def replace(fleet, runner, version, *, is_kept):
    former_id = runner.runner_id
    runner.crash()
    runner.version = version
    if not is_kept:
        runner.runner_id += "-next"
    await runner.start()
    await fleet.register_runner(runner, born_ms=BORN_MS + 1_000)
    if not is_kept:
        await fleet.store.remove("servers", former_id)


async def wait_until_listed(fleet, runner):
    tables = [node.state.table for node in fleet.nodes]
    await wait_until(
        lambda: all(t.has_version(runner.runner_id, runner.version) for t in tables), 5
    )


@when(
    'a runner restarts under {which} id at version "{version}" between its choice and'
    " the sending of {count:d} calls, half of which resume streams"
)
def restart_before_send(context, which, version, count):
    fleet = context.fleet
    for standin in fleet.runners:
        standin.break_every = 2
    go = asyncio.Event()
    held = hold_sends(context, go)
    new = [Reader(fleet, f"held-{n}") for n in range(count // 2)]
    resumed = context.readers[: count // 2]
    context.readers = [*context.readers, *new]

    def find_runner():
        """Return a runner for which calls of both kinds are held."""
        both = (r for r in fleet.runners if held[r.runner_id] == {True, False})
        return next(both, None)

    async def act():
        reads = [
            asyncio.ensure_future(reader.read(n % len(fleet.nodes)))
            for n, reader in enumerate([*resumed, *new])
        ]
        await wait_until(find_runner, 5)
        runner = find_runner()
        await replace(fleet, runner, version, is_kept=which == "its")
        await wait_until_listed(fleet, runner)
        expected = {standin.runner_id for standin in fleet.runners}
        await wait_until(lambda: all(ids(node) == expected for node in fleet.nodes), 5)
        go.set()
        await asyncio.gather(*reads)
        for n, reader in enumerate(context.readers):
            if not reader.is_complete:
                await reader.read((n + 1) % len(fleet.nodes))

    context.run(act())


def hold_searches(context, go, result):
    """Hold what homes say to requests for slots, and replace it by a result."""
    request_slot, held = SlotBroker._request_slot, []

    async def request_late(broker, runner, *args):
        if go.is_set():
            return await request_slot(broker, runner, *args)
        held.append(runner.runner_id)
        await go.wait()
        if result == "homes do not reply":
            return None
        return Failure(SlotRefusal(runner.runner_id, 1, RefusalReason.LOAD))

    SlotBroker._request_slot = request_late
    context.add_cleanup(setattr, SlotBroker, "_request_slot", request_slot)
    return held


@when(
    'runner {number:d} restarts at version "{version}" while all are resumed,'
    " and {result}"
)
def restart_amid_searches(context, number, version, result):
    fleet = context.fleet
    runner = fleet.runners[number]
    go = asyncio.Event()
    context.early_readers = context.readers
    held = hold_searches(context, go, result)

    async def act():
        reads = [
            asyncio.ensure_future(reader.read(n % len(fleet.nodes)))
            for n, reader in enumerate(context.readers)
        ]
        await wait_until(lambda: len(held) == len(reads), 5)
        assert runner.runner_id in held
        await replace(fleet, runner, version, is_kept=True)
        await wait_until_listed(fleet, runner)
        runner.calls.clear()
        go.set()
        await asyncio.gather(*reads)

    context.run(act())


@then("runner {number:d} got none of their calls")
def check_no_calls(context, number):
    assert not context.fleet.runners[number].calls
