from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack

from behave import given, then, when

from clementineyoke_core.claims.decision import ClaimVerdict
from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_node.claims.shard_task import PendingClaim, ShardTask
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.bench.memory_object_api import MemoryObjectApi

TIMEOUT_MS = 2_000.0


async def open_task(context, stack):
    task = ShardTask(
        name="claims/0",
        objects=context.objects,
        timers=context.timers,
        batch_ms=1.0,
    )
    return await stack.enter_async_context(task)


async def claim(context, task, key, holder, timeout_ms=TIMEOUT_MS):
    """Return the verdict, or None if the holder timed out."""
    future = asyncio.get_running_loop().create_future()
    deadline_ms = context.timers.now_ms() + timeout_ms
    attempt = ClaimAttempt(key, holder, "digest")
    task.submit(
        PendingClaim(attempt, deadline_ms, lambda d: future.set_result(d.verdict))
    )
    done, _ = await asyncio.wait([future], timeout=timeout_ms / 1000)
    if done:
        return future.result()
    task.report(ClaimReport(key, holder, False))
    return None


@given("a shard task")
@given("two shard tasks on one object")
def given_task(context):
    context.objects = MemoryObjectApi(delay_ms=1.0)
    context.timers = TimerService()


@given("a shard task whose next {count:d} write replies are lost")
def given_lost(context, count):
    given_task(context)
    context.objects.lost_replies = count


@given("a shard task whose platform is unavailable")
def given_unavailable(context):
    given_task(context)
    context.objects.is_unavailable = True


@when("holders A and B claim the same key")
def claim_same_key(context):
    async def run():
        async with AsyncExitStack() as stack:
            task = await open_task(context, stack)
            claims = [claim(context, task, "key", holder) for holder in "AB"]
            context.verdicts = await asyncio.gather(*claims)

    context.run(run())


@then("exactly one of them is granted and the other gets unknown")
def check_one(context):
    expected = [ClaimVerdict.GRANTED, ClaimVerdict.UNKNOWN]
    assert sorted(context.verdicts) == expected, context.verdicts


@when("{count:d} keys are claimed at both at once")
def claim_at_both(context, count):
    async def run():
        async with AsyncExitStack() as stack:
            tasks = [await open_task(context, stack) for _ in range(2)]
            claims = [
                claim(context, task, f"key-{key}", f"holder-{key}-{home}")
                for key in range(count)
                for home, task in enumerate(tasks)
            ]
            context.verdicts = await asyncio.gather(*claims)
            context.count = count

    context.run(run())


@then("each key is granted exactly once")
def check_each(context):
    counted = Counter(context.verdicts)
    assert counted[ClaimVerdict.GRANTED] == context.count, counted
    pairs = zip(context.verdicts[::2], context.verdicts[1::2], strict=True)
    assert all(pair.count(ClaimVerdict.GRANTED) == 1 for pair in pairs)


@when("holder A claims a key, times out, and the platform recovers")
def claim_during_outage(context):
    async def run():
        async with AsyncExitStack() as stack:
            task = await open_task(context, stack)
            context.first = await claim(context, task, "key", "A", timeout_ms=50.0)
            context.objects.is_unavailable = False
            context.second = await claim(context, task, "key", "B")

    context.run(run())


@then("holder A is never granted")
def check_never(context):
    assert context.first is None


@then("holder B is granted the same key")
def check_second_granted(context):
    assert context.second is ClaimVerdict.GRANTED


@when("{count:d} holders claim and report one after the other within 2 seconds")
def claim_and_report(context, count):
    async def run():
        async with AsyncExitStack() as stack:
            context.task = task = await open_task(context, stack)
            for number in range(count):
                verdict = await claim(context, task, f"key-{number}", f"h-{number}")
                assert verdict is ClaimVerdict.GRANTED
                task.report(ClaimReport(f"key-{number}", f"h-{number}", True))

    context.run(run())


@then("the task has written at most {count:d} times")
def check_writes(context, count):
    assert 20 <= context.task.writes <= count, context.task.writes
