from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.slot_search import SlotSearch


def start_search(context, count):
    context.runner_ids = [f"engine-{index}" for index in range(count)]
    context.search = SlotSearch(order=iter(context.runner_ids))
    context.paused = set()


@given("a search over {count:d} runners that all refuse with loads from 5 to 16")
def given_refusals(context, count):
    start_search(context, count)
    context.loads = {f"engine-{n}": 5 + (n * 5) % 12 for n in range(count)}


@given("a search over {count:d} runners whose homes do not reply")
def given_timeouts(context, count):
    start_search(context, count)
    context.loads = None


@when("the search has requested a slot on {count:d} of them")
def request_slots(context, count):
    context.requested = []
    for _ in range(count):
        attempt = context.search.next_attempt()
        context.requested.append(attempt.runner_id)
        if context.loads is None:
            context.search.record_timeout(attempt)
        else:
            is_paused = attempt.runner_id in context.paused
            context.search.record_refusal(
                attempt,
                in_use=context.loads[attempt.runner_id],
                reason=RefusalReason.PAUSED if is_paused else RefusalReason.LOAD,
            )
    assert context.requested == context.runner_ids[:count]


@then("it sends a last-resort request to the least loaded with the mean of those loads")
def check_last_resort(context):
    attempt = context.search.next_attempt()
    loads = [context.loads[runner_id] for runner_id in context.requested]
    assert attempt.runner_id == min(context.requested, key=context.loads.get)
    assert attempt.seen_mean == sum(loads) / len(loads)
    context.search.record_refusal(attempt, in_use=9)


@then("then the search is over")
@then("the search is over")
def check_over(context):
    assert context.search.next_attempt() is None


@then("it falls back to the one with the lower last known load")
def check_fallback(context):
    attempt = context.search.fallback({"engine-0": 7, "engine-1": 2})
    assert attempt.runner_id == "engine-1"


@given(
    "a search over {count:d} runners, the first paused and the others with a load of 9"
)
def given_one_paused(context, count):
    start_search(context, count)
    context.loads = dict.fromkeys(context.runner_ids, 9)
    context.loads["engine-0"] = 0
    context.paused = {"engine-0"}


@given(
    "a search over {count:d} runners, {paused:d} paused with a load of {low:d} "
    "and the others with a load of {high:d}"
)
def given_most_paused(context, count, paused, low, high):
    start_search(context, count)
    context.paused = set(context.runner_ids[:paused])
    context.loads = {
        runner_id: low if runner_id in context.paused else high
        for runner_id in context.runner_ids
    }


@given("a search over {count:d} paused runners")
def given_all_paused(context, count):
    start_search(context, count)
    context.loads = dict.fromkeys(context.runner_ids, 0)
    context.paused = set(context.runner_ids)


@then(
    "it sends a last-resort request to one that is not paused, with a mean of {mean:d}"
)
def check_last_resort_not_paused(context, mean):
    attempt = context.search.next_attempt()
    assert attempt.runner_id not in context.paused
    assert attempt.seen_mean == mean
    context.search.record_refusal(attempt, in_use=9)


@then("after a refusal it sends one to a paused runner, with a mean of {mean:d}")
def check_last_resort_paused(context, mean):
    attempt = context.search.next_attempt()
    assert attempt.runner_id in context.paused
    assert attempt.seen_mean == mean
    context.search.record_refusal(attempt, in_use=1, reason=RefusalReason.PAUSED)


@then("it still sends a request that is marked as last-resort")
def check_last_resort_mark(context):
    attempt = context.search.next_attempt()
    assert attempt is not None
    assert 0 < attempt.seen_mean < 1
