from __future__ import annotations

import asyncio
from collections import defaultdict
from contextlib import asynccontextmanager

from behave import when
from edge_steps import wait_until
from runner_restarts_steps import BORN_MS
from versions_steps import Reader, ids

from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool


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
        tables = [node.state.table for node in fleet.nodes]
        await wait_until(
            lambda: all(
                table.has_version(runner.runner_id, version) for table in tables
            ),
            5,
        )
        expected = {standin.runner_id for standin in fleet.runners}
        await wait_until(lambda: all(ids(node) == expected for node in fleet.nodes), 5)
        go.set()
        await asyncio.gather(*reads)
        for n, reader in enumerate(context.readers):
            if not reader.is_complete:
                await reader.read((n + 1) % len(fleet.nodes))

    context.run(act())
