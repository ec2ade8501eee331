from __future__ import annotations

import asyncio
import time

from behave import then, when

TICK_S = 0.15


@when("the event loop stands still for {stall_s:g} s")
def stall(context, stall_s):
    async def act():
        await asyncio.sleep(TICK_S)
        time.sleep(stall_s)
        await asyncio.sleep(TICK_S)

    context.run(act())


@then("the node has counted a stall of {least_ms:d} to {most_ms:d} ms")
def check_stall(context, least_ms, most_ms):
    counter = context.fleet.nodes[0].state.metrics.loop_stalled_ms
    assert least_ms <= counter.get({}) <= most_ms, counter.get({})
