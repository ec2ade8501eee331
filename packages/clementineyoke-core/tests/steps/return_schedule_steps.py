from __future__ import annotations

from random import Random
from statistics import median

from behave import given, then, when
from hypothesis import given as given_values, settings, strategies

from clementineyoke_core.overload.return_schedule import ReturnRequest, ReturnSchedule

START_MS = 5_000.0
RATE_PER_S = 60.0
LOW_RATE_PER_S = 20.0
PATIENCE_MS = 100.0
"""Time for which a returned call queues for a slot."""
KEPT_SLOTS = 6
"""Free slots that new calls leave to returns."""
TICK_MS = 5.0


def reject(context, key, *, priority, left_ms, now_ms, rate_per_s=RATE_PER_S):
    rate_per_s /= len(context.schedules)
    request = ReturnRequest("m", priority, key, left_ms, rate_per_s, now_ms)
    planned = context.draw.choice(context.schedules).plan(request)
    context.returns.append((now_ms + planned.retry_after_ms, priority))
    context.planned.append(planned)
    return planned.retry_after_ms


def count_served(returns):
    """Count the returns of each priority that meet a slot, urgent ones first."""
    waiting, served, free, now_ms = [], [0, 0, 0], 0.0, START_MS
    due = sorted(returns)
    while due or waiting:
        now_ms += TICK_MS
        free = min(KEPT_SLOTS, free + RATE_PER_S * TICK_MS / 1_000)
        while due and due[0][0] <= now_ms:
            waiting.append(due.pop(0)[::-1])
        waiting = sorted(w for w in waiting if now_ms - w[1] <= PATIENCE_MS)
        while waiting and free >= 1.0:
            served[waiting.pop(0)[0]] += 1
            free -= 1.0
    return served


def most_within(context, width_ms):
    times = sorted(at_ms for at_ms, _ in context.returns)
    return max(sum(t <= other < t + width_ms for other in times) for t in times)


@given("a schedule drawn with seed {seed:d}")
def given_schedule(context, seed):
    given_schedules(context, seed, nodes=1)


@given(
    "a schedule drawn with seed {seed:d} on each of {nodes:d} nodes that share the rate"
)
def given_schedules(context, seed, nodes):
    context.seed = seed
    context.draw = Random(seed)
    context.schedules = [ReturnSchedule(rng=Random(seed + n)) for n in range(nodes)]
    context.returns, context.planned = [], []


@when(
    "{count:d} calls of priorities 0, 1 and 2 with {left_s:d} s left are rejected "
    "within {span_s:d} s"
)
def reject_mixed(context, count, left_s, span_s):
    priorities = Random(context.seed + 1).choices((0, 1, 2), k=count)
    for n, priority in enumerate(priorities):
        now_ms = START_MS + span_s * 1_000 * n / count
        reject(context, n, priority=priority, left_ms=left_s * 1_000, now_ms=now_ms)
    context.end_ms = START_MS + span_s * 1_000
    context.rejected_ms = [
        (START_MS + span_s * 1_000 * n / count, p) for n, p in enumerate(priorities)
    ]


@when(
    "{count:d} calls of priority {priority:d} with {left:d} {unit} left are rejected "
    "within {span_s:d} s"
)
def reject_equal(context, count, priority, left, unit, span_s):
    left_ms = left * 1_000 if unit == "s" else left
    for n in range(count):
        now_ms = START_MS + span_s * 1_000 * n / count
        reject(
            context,
            n,
            priority=priority,
            left_ms=left_ms,
            now_ms=now_ms,
            rate_per_s=LOW_RATE_PER_S,
        )
    context.end_ms = START_MS + span_s * 1_000


@when("the pool frees 60 slots per second for the returns")
def serve_returns(context):
    context.served = count_served(context.returns)


@then("all returns of priority 0 meet a free slot")
def check_urgent_served(context):
    assert context.served[0] == sum(p == 0 for _, p in context.returns), context.served


@then("{percent:d} percent of all returns meet a free slot")
def check_share_served(context, percent):
    assert sum(context.served) >= percent / 100 * len(context.returns), context.served


@then("at least twice as many as with a constant Retry-After of {constant_ms:d} ms")
def check_against_constant(context, constant_ms):
    constant = [(at_ms + constant_ms, p) for at_ms, p in context.rejected_ms]
    assert sum(context.served) >= 2 * sum(count_served(constant)), context.served


@then("the median return of each priority is later than that of a more urgent one")
def check_order(context):
    medians = [median(t for t, p in context.returns if p == rank) for rank in (0, 1, 2)]
    assert medians == sorted(medians), medians


@then("no {width_ms:d} ms have more than twice the returns that they can serve")
def check_not_bunched(context, width_ms):
    limit = 2 * RATE_PER_S * width_ms / 1_000
    assert most_within(context, width_ms) <= limit, most_within(context, width_ms)


@then("no {width_ms:d} ms have more than {limit:d} returns")
def check_most(context, width_ms, limit):
    assert most_within(context, width_ms) <= limit, most_within(context, width_ms)


@then(
    "any {width_ms:d} ms of the next {span_s:d} s have {low:d} to {high:d} returns of "
    "20 per second"
)
def check_even(context, width_ms, span_s, low, high):
    for begin_ms in range(50, span_s * 1_000 + 51 - width_ms, 50):
        first_ms = START_MS + begin_ms
        found = sum(first_ms <= t < first_ms + width_ms for t, _ in context.returns)
        assert low <= found <= high, (begin_ms, found)


@then("every Retry-After is between {low:d} and {high:d} ms")
def check_bounds(context, low, high):
    times = [planned.retry_after_ms for planned in context.planned]
    assert low <= min(times) <= max(times) <= high, (min(times), max(times))


@then("the Retry-After of any call is at least 50 ms and at most a third of its time")
def check_any(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given_values(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 20),
                strategies.integers(0, 9),
                strategies.floats(0.0, 60_000.0),
                strategies.floats(0.01, 1e4),
                strategies.floats(0.0, 5_000.0),
            ),
            max_size=30,
        )
    )
    def check(calls):
        given_schedule(context, 1)
        now_ms = START_MS
        for key, priority, left_ms, rate_per_s, pause_ms in calls:
            now_ms += pause_ms
            request = ReturnRequest("m", priority, key, left_ms, rate_per_s, now_ms)
            retry_ms = context.schedules[0].plan(request).retry_after_ms
            assert 50 <= retry_ms <= max(50.0, left_ms / 3), (retry_ms, request)

    check()


@then("{low:d} to {high:d} of them are not overbooked")
def check_overbooked(context, low, high):
    kept = [planned for planned in context.planned if not planned.is_overbooked]
    assert low <= len(kept) <= high, len(kept)


@when(
    "{count:d} calls of priority {priority:d} are rejected {times:d} times each within "
    "{span_ms:d} ms"
)
def reject_repeatedly(context, count, priority, times, span_ms):
    context.due_ms = {}
    for n in range(count * times):
        key, now_ms = n % count, START_MS + span_ms * n / (count * times)
        retry_ms = reject(
            context, key, priority=priority, left_ms=12_000, now_ms=now_ms
        )
        # Repeats of a return that is due by then are planned anew.
        if context.due_ms.get(key, (0.0,))[0] <= now_ms:
            context.due_ms[key] = (now_ms + retry_ms, [])
        else:
            context.due_ms[key][1].append(now_ms + retry_ms)
    context.end_ms = START_MS + span_ms


@then("a repeat is never told to return before the time that it got first")
def check_repeats(context):
    repeats = [
        (first_ms, at_ms)
        for first_ms, times in context.due_ms.values()
        for at_ms in times
    ]
    assert repeats
    # The Retry-After is cut off to whole milliseconds.
    assert all(at_ms >= first_ms - 1 for first_ms, at_ms in repeats), repeats


def plan_new(context, priority):
    key = f"new-{priority}"
    request = ReturnRequest("m", priority, key, 12_000, RATE_PER_S, context.end_ms)
    return context.schedules[0].plan(request).retry_after_ms


@then("another call of priority 1 returns as early as if they had not repeated")
def check_not_moved(context):
    # Ten returns take a sixth of a second, and the slot after them another 17 ms.
    assert plan_new(context, 1) <= 50 + 10 / 60 * 1_000 + 17


@then("another call of priority {priority:d} returns as if they did not exist")
def check_unaffected(context, priority):
    retry_ms = plan_new(context, priority)
    assert 50 <= retry_ms <= 50 + 17, retry_ms


@when(
    "{count:d} calls with the same content and {left_s:d} s left are rejected "
    "within 0 s"
)
def reject_same(context, count, left_s):
    for _ in range(count):
        reject(context, 1, priority=1, left_ms=left_s * 1_000, now_ms=START_MS)


@when("a call that returns in {min_s:d} s or more is rejected")
def reject_long(context, min_s):
    for n in range(int(min_s * LOW_RATE_PER_S)):
        reject(
            context,
            f"earlier-{n}",
            priority=1,
            left_ms=60_000,
            now_ms=START_MS,
            rate_per_s=LOW_RATE_PER_S,
        )
    retry_ms = reject(
        context,
        1,
        priority=1,
        left_ms=60_000,
        now_ms=START_MS,
        rate_per_s=LOW_RATE_PER_S,
    )
    assert retry_ms >= min_s * 1_000, retry_ms
    context.returns.clear()


@when("a call is rejected, and again after its return was due")
def reject_twice(context):
    first_ms = reject(context, 1, priority=1, left_ms=12_000, now_ms=START_MS)
    context.second_ms = START_MS + first_ms + 1
    reject(context, 1, priority=1, left_ms=8_000, now_ms=context.second_ms)


@then("the second return is at least {min_ms:d} ms later")
def check_second(context, min_ms):
    assert context.returns[1][0] >= context.second_ms + min_ms


@then("the schedule remembers {count:d} returns")
def check_pending(context, count):
    assert context.schedules[0].pending_count() == count, context.schedules[
        0
    ].pending_count()


@then("it remembers 1 return after one more rejection {pause_s:d} s later")
def check_expired(context, pause_s):
    later_ms = context.end_ms + pause_s * 1_000
    reject(context, "last", priority=1, left_ms=12_000, now_ms=later_ms)
    check_pending(context, 1)


@when("the node restarts")
def restart(context):
    given_schedule(context, context.seed)


@when("the pool is removed and added again")
def remove_pool(context):
    context.schedules[0].retain(())
