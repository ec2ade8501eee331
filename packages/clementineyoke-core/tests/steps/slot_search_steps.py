from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.slot_search import SlotSearch


def start(context, count):
    context.runner_ids = [f"engine-{index}" for index in range(count)]
    context.search = SlotSearch(order=iter(context.runner_ids))
    context.paused = set()


@given("a search over {count:d} runners of which all refuse with loads from 5 to 16")
def given_refusals(context, count):
    start(context, count)
    context.loads = {f"engine-{n}": 5 + (n * 5) % 12 for n in range(count)}


@given("a search over {count:d} runners whose homes are silent")
def given_silence(context, count):
    start(context, count)
    context.loads = None


@when("the search has asked {count:d} of them")
def ask(context, count):
    context.asked = []
    for _ in range(count):
        attempt = context.search.next_attempt()
        context.asked.append(attempt.runner_id)
        if context.loads is None:
            context.search.record_timeout(attempt)
        else:
            context.search.record_refusal(
                attempt,
                in_use=context.loads[attempt.runner_id],
                is_held=attempt.runner_id in context.paused,
            )
    assert context.asked == context.runner_ids[:count]


@then("it presses the least loaded with the mean of the loads it saw")
def check_press(context):
    attempt = context.search.next_attempt()
    seen = [context.loads[runner_id] for runner_id in context.asked]
    assert attempt.runner_id == min(context.asked, key=context.loads.get)
    assert attempt.seen_mean == sum(seen) / len(seen)
    context.search.record_refusal(attempt, in_use=9)


@then("then it is over")
@then("it is over")
def check_over(context):
    assert context.search.next_attempt() is None


@then("it falls back on the one that was less loaded before")
def check_fallback(context):
    attempt = context.search.fallback({"engine-0": 7, "engine-1": 2})
    assert attempt.runner_id == "engine-1"


@given(
    "a search over {count:d} runners of which the first is paused and the others hold 9"
)
def given_one_paused(context, count):
    start(context, count)
    context.loads = dict.fromkeys(context.runner_ids, 9)
    context.loads["engine-0"] = 0
    context.paused = {"engine-0"}


@given(
    "a search over {count:d} runners of which {paused:d} are paused "
    "with a load of {low:d} and the others hold {high:d}"
)
def given_most_paused(context, count, paused, low, high):
    start(context, count)
    context.paused = set(context.runner_ids[:paused])
    context.loads = {
        runner_id: low if runner_id in context.paused else high
        for runner_id in context.runner_ids
    }


@given("a search over {count:d} runners that are all paused")
def given_all_paused(context, count):
    start(context, count)
    context.loads = dict.fromkeys(context.runner_ids, 0)
    context.paused = set(context.runner_ids)


@then("it presses one that is not paused, with a mean of {mean:d}")
def check_press_unpaused(context, mean):
    attempt = context.search.next_attempt()
    assert attempt.runner_id not in context.paused
    assert attempt.seen_mean == mean
    context.search.record_refusal(attempt, in_use=9)


@then("when that is refused it presses one that is paused, with a mean of {mean:d}")
def check_press_held(context, mean):
    attempt = context.search.next_attempt()
    assert attempt.runner_id in context.paused
    assert attempt.seen_mean == mean
    context.search.record_refusal(attempt, in_use=1, is_held=True)


@then("it still presses one, and says that it is the last ask")
def check_press_paused(context):
    attempt = context.search.next_attempt()
    assert attempt is not None
    assert 0 < attempt.seen_mean < 1
