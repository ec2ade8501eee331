from __future__ import annotations

from admission_fleet import AdmissionFleet
from behave import given, then, when

RANKS = range(3)
TOLERANCE = 0.03
"""Difference between two ranks that are served alike, by the chance of the draw."""


def served_share(counts, rank):
    """Return the useful calls of a rank as a share of those that ended."""
    ended = sum(counts[end, rank] for end in ("useful", "late", "level", "no slot"))
    return counts["useful", rank] / ended


def useful_work(counts):
    return sum(counts["useful", rank] for rank in RANKS)


@given("a pool with admission by priority, and one without, seed {seed:d}")
def given_pools(context, seed):
    context.fleet = AdmissionFleet(seed=seed)
    context.plain_fleet = AdmissionFleet(seed=seed, is_on=False)


@when("the load is 0.5, 1, 2, 4, 2 and 0.5 times the capacity, for {seconds:d} s each")
def play_steps(context, seconds):
    context.steps = []
    for times in (0.5, 1, 2, 4, 2, 0.5):
        halves = []
        for _ in range(2):
            counts = context.fleet.play(times_capacity=times, seconds=seconds / 2)
            halves.append((counts, context.fleet.levels))
        plain = context.plain_fleet.play(times_capacity=times, seconds=seconds)
        context.steps.append((halves, halves[0][0] + halves[1][0], plain))


@when("the load is {times:d} times the capacity, for {seconds:d} s")
def play_once(context, times, seconds):
    context.counts = context.fleet.play(times_capacity=times, seconds=seconds)


@then(
    "at least {percent:d} in 100 calls of the most urgent rank meet their objective "
    "in each step"
)
def check_most_urgent(context, percent):
    shares = [served_share(counts, 0) for _, counts, _ in context.steps]
    assert min(shares) >= percent / 100, shares


@then("no rank is served less often than a less urgent one in any step")
def check_order(context):
    for _, counts, _ in context.steps:
        shares = [served_share(counts, rank) for rank in RANKS]
        for urgent, less_urgent in zip(shares, shares[1:], strict=False):
            assert urgent >= less_urgent - TOLERANCE, shares


@then("no rank gets less than a quarter of the share that all calls get in any step")
def check_starvation(context):
    for _, counts, _ in context.steps:
        asked = sum(counts["asked", rank] for rank in RANKS)
        limit = 0.25 * useful_work(counts) / asked
        shares = [served_share(counts, rank) for rank in RANKS]
        assert min(shares) >= limit, (shares, limit)


@then(
    "the useful work of each step is at least {percent:d} in 100 of that without "
    "the part"
)
def check_step_work(context, percent):
    for _, counts, plain in context.steps:
        work = useful_work(counts), useful_work(plain)
        assert work[0] >= work[1] * percent / 100, work


@then("the useful work of all steps is not lower than without the part")
def check_whole_work(context):
    work = sum(useful_work(counts) for _, counts, _ in context.steps)
    plain = sum(useful_work(counts) for _, _, counts in context.steps)
    assert work >= plain, (work, plain)


@then(
    "in the second half of each step the level in force moves by at most {ranks:g} "
    "ranks"
)
def check_swings(context, ranks):
    swings = [max(levels) - min(levels) for (_, (_, levels)), _, _ in context.steps]
    assert max(swings) <= ranks, swings


@then("no call is rejected in the second half of the last step")
def check_no_rejection(context):
    (_, (counts, _)), _, _ = context.steps[-1]
    assert not any(counts["level", rank] for rank in RANKS), counts


@then("every call of the most urgent rank has a slot, and none of them is late")
def check_first_second(context):
    assert context.counts["granted", 0] == context.counts["asked", 0], context.counts
    assert context.counts["late", 0] == 0, context.counts
