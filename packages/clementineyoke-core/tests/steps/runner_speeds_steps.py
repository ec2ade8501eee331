from __future__ import annotations

from behave import given, then, when
from hypothesis import (
    given as for_any,
    settings as hypothesis_settings,
    strategies as st,
)
from uneven_pool import UnevenPool

from clementineyoke_core.capacity.runner_speeds import (
    RunnerSpeeds,
    current_key,
    lasting_key,
)
from clementineyoke_core.capacity.speed_report import SpeedReport
from clementineyoke_core.capacity.speed_rule import SpeedRule
from clementineyoke_core.grants.call_profile import (
    NO_PROMPT,
    UNDESCRIBED,
    CallProfile,
    PromptCost,
)
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.grants.load_bound_rule import LoadBoundRule
from clementineyoke_core.load_bound import LoadBound
from clementineyoke_core.mean_load import LoadShare, MeanLoadEstimator
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger

POOL = "m"
PROMPT_KEY = 7
REPORT_INTERVAL_MS = 100


def report(percent):
    return SpeedReport(1, 0, 8, percent)


@given("a home of {count:d} runners of one pool that report their speed")
def given_home(context, count):
    context.mean_load = MeanLoadEstimator()
    context.speeds = RunnerSpeeds(mean_load=context.mean_load)
    context.rule = SpeedRule(speeds=context.speeds, pool_of=lambda _: POOL)
    context.runner_ids = [f"runner-{n}" for n in range(1, count + 1)]
    context.now_ms = 1_000.0


def receive(context, percents, *, age_ms=0.0):
    for runner_id, percent in percents.items():
        context.speeds.record_report(
            runner_id, POOL, report(percent), age_ms=age_ms, now_ms=context.now_ms
        )
    context.speeds.refresh(now_ms=context.now_ms)


def all_report(context, percent):
    return dict.fromkeys(context.runner_ids, percent)


@when("every runner reports {percent:d}")
def report_all(context, percent):
    receive(context, all_report(context, percent))


@when("every runner reports {percent:d}, but runner 1 reports {other:d}")
def report_with_exception(context, percent, other):
    receive(context, all_report(context, percent) | {"runner-1": other})


@when("every runner reports {percent:d} and runner 1 does not report")
@when("every runner but runner 1 reports {percent:d}")
def report_others(context, percent):
    receive(context, dict.fromkeys(context.runner_ids[1:], percent))


@when("runner 1 alone reports {percent:d}")
def report_alone(context, percent):
    receive(context, {"runner-1": percent})


@when("a report of {percent:d} by runner 1 arrives that is {age_ms:d} ms old")
def report_late(context, percent, age_ms):
    receive(context, {"runner-1": percent}, age_ms=age_ms)


@when("reports of {percent:d} by all runners arrive that are {age_ms:d} ms old")
def report_all_late(context, percent, age_ms):
    receive(context, all_report(context, percent), age_ms=age_ms)


@when("{pause_ms:d} ms pass without reports")
def pause(context, pause_ms):
    context.now_ms += pause_ms
    context.speeds.refresh(now_ms=context.now_ms)


@when("the gossip of the pool has a mean slowdown of {mean:g}")
def receive_gossip(context, mean):
    for _ in range(20):
        context.mean_load.merge({current_key(POOL): LoadShare(30 * mean, 30)})


@when("{duration_s:d} s pass with a call each second and the same reports")
def pass_with_calls(context, duration_s):
    first = {
        runner_id: round(
            100 * context.speeds.estimate(runner_id, now_ms=context.now_ms).current
        )
        for runner_id in context.runner_ids
    }
    for _ in range(duration_s):
        context.now_ms += 1_000
        receive(context, first)
        for runner_id in context.runner_ids:
            context.rule.record_grant(request(context, runner_id, objective(5_000)))


@when("a call with {shared:d} shared and {own:d} own tokens runs on runner 1")
def run_long(context, shared, own):
    context.profile = long_prompt(shared, own)
    context.rule.record_grant(request(context, "runner-1", context.profile))


@when("a call without a description runs on runner 1")
def run_undescribed(context):
    context.rule.record_grant(request(context, "runner-1", UNDESCRIBED))


def pass_with_answers(context, duration_s, percents, times):
    for _ in range(duration_s * 1_000 // REPORT_INTERVAL_MS):
        context.now_ms += REPORT_INTERVAL_MS
        for runner_id, time_percent in times.items():
            context.speeds.record_response_time(
                runner_id, POOL, time_percent=time_percent, now_ms=context.now_ms
            )
        receive(context, percents)


@when(
    "for {duration_s:d} s every runner reports {percent:d}, and runner 1 takes "
    "{time_percent:d} percent of the time"
)
def report_usual_but_slow(context, duration_s, percent, time_percent):
    times = all_report(context, 100) | {"runner-1": time_percent}
    pass_with_answers(context, duration_s, all_report(context, percent), times)


@when(
    "for {duration_s:d} s runner 1 reports {percent:d} and all runners take 100 "
    "percent of the time"
)
def report_wrongly(context, duration_s, percent):
    percents = all_report(context, 100) | {"runner-1": percent}
    pass_with_answers(context, duration_s, percents, all_report(context, 100))


@when(
    "for {duration_s:d} s runner 1 reports {percent:d} and takes {time_percent:d} "
    "percent of the time"
)
def report_honestly(context, duration_s, percent, time_percent):
    percents = all_report(context, 100) | {"runner-1": percent}
    times = all_report(context, 100) | {"runner-1": time_percent}
    pass_with_answers(context, duration_s, percents, times)


@when(
    "for {duration_s:d} s every runner reports {percent:d}, and runner 1 answers "
    "nothing"
)
def report_without_answers(context, duration_s, percent):
    times = dict.fromkeys(context.runner_ids[1:], 100)
    pass_with_answers(context, duration_s, all_report(context, percent), times)


@when("runner 1 moves to another home and back")
def move_home(context):
    context.rule.remove_runner("runner-1")


def objective(objective_ms):
    return CallProfile(1, 0, objective_ms, NO_PROMPT)


def long_prompt(shared, own):
    key = PROMPT_KEY if shared else PROMPT_KEY + 1
    return CallProfile(1, 0, 1_045, PromptCost(key, shared, own, 300))


def request(context, runner_id, profile, **changes):
    holder = SlotHolder("node", 1)
    return GrantRequest(runner_id, holder, context.now_ms, profile=profile, **changes)


def check(context, profile, result, runner="1", **changes):
    reason = context.rule.check(
        request(context, f"runner-{runner}", profile, **changes)
    )
    found = "granted" if reason is None else f"refused as {reason.label}"
    assert found == result, found


@then("a call with an objective of {objective_ms:d} ms is refused on runner 1 as speed")
def check_refused(context, objective_ms):
    context.profile = objective(objective_ms)
    check(context, context.profile, "refused as speed")


@then("a call with an objective of {objective_ms:d} ms is granted on runner 1")
def check_granted(context, objective_ms):
    check(context, objective(objective_ms), "granted")


@then("a call with an objective of {objective_ms:d} ms is granted on all runners")
def check_all_granted(context, objective_ms):
    for number in range(1, len(context.runner_ids) + 1):
        check(context, objective(objective_ms), "granted", runner=number)


@then("it is granted on runner {number:d}")
def check_granted_elsewhere(context, number):
    check(context, context.profile, "granted", runner=number)


@then("a last-resort request for it is granted on runner 1")
def check_last_resort(context):
    check(context, context.profile, "granted", seen_mean=0.01)


@then("a queued request for it is granted on runner 1")
def check_queued(context):
    check(context, context.profile, "granted", is_queued=True)


@then("a call without a description is granted on runner 1")
def check_undescribed(context):
    check(context, UNDESCRIBED, "granted")


@then(
    "a call with {shared:d} shared and {own:d} own tokens is refused on runner 1 "
    "as speed"
)
def check_long_refused(context, shared, own):
    check(context, long_prompt(shared, own), "refused as speed")


@then("a call with {shared:d} shared and {own:d} own tokens is granted on runner 1")
def check_long_granted(context, shared, own):
    check(context, long_prompt(shared, own), "granted")


@then(
    "an urgent call with {shared:d} shared and {own:d} own tokens is {result} on "
    "runner 1"
)
def check_urgent(context, shared, own, result):
    check(context, long_prompt(shared, own)._replace(objective_ms=272), result)


@then("its load weight on runner 1 is {low:g} to {high:g}")
def check_call_weight(context, low, high):
    asked = request(context, "runner-1", context.profile)
    check_between(context.rule.load_weight(asked), low, high)


@then("the mean slowdown that the home gossips is {mean:g}")
def check_gossiped(context, mean):
    share = context.mean_load.shares()[current_key(POOL)]
    assert share.runners and share.load / share.runners == mean, share


@then("the pool's usual slowdown is {slowdown:g}")
def check_usual(context, slowdown):
    found = context.speeds.pool_slowdown(POOL)
    assert found == slowdown, found


@then("the home gossips the lasting slowdown of {count:d} runners")
def check_gossiped_runners(context, count):
    share = context.mean_load.shares()[lasting_key(POOL)]
    assert share.runners == count, share


def check_between(value, low, high):
    assert low <= value <= high, value


@then("the {kind} slowdown of runner 1 is {low:g} to {high:g}")
def check_slowdown(context, kind, low, high):
    estimate = context.speeds.estimate("runner-1", now_ms=context.now_ms)
    check_between(getattr(estimate, kind), low, high)


@then("the load weight of runner {number:d} is {low:g} to {high:g}")
def check_weight(context, number, low, high):
    runner_id = f"runner-{number}"
    estimate = context.speeds.estimate(runner_id, now_ms=context.now_ms)
    check_between(estimate.load_weight, low, high)


def make_load_rule(context, **options):
    runners = [
        Runner(runner_id, "127.0.0.1", 1, "z", "r", RunnerKind.ENGINE, POOL, 8)
        for runner_id in context.runner_ids
    ]
    table = RunnerTable()
    table.apply_host_list(live=runners, leaving=[], now_ms=0)
    ledger = SlotLedger()
    rule = LoadBoundRule(
        ledger=ledger,
        table=table,
        mean_load=MeanLoadEstimator(),
        load_bound=LoadBound(factor=1.2, slack_slots=3, queue_share=1.0),
        **options,
    )
    return ledger, rule


PROFILES = st.sampled_from(
    [UNDESCRIBED, objective(217), long_prompt(10_512, 1_300), long_prompt(0, 12_000)]
)
REQUESTS = st.lists(
    st.tuples(st.integers(1, 6), st.floats(0, 9), st.floats(0, 2), PROFILES),
    max_size=60,
)


@then(
    "any requests for runners without reports get the same grants as without the rule"
)
def check_same_grants(context):
    @hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
    @for_any(REQUESTS)
    def check_requests(requests):
        old_ledger, old_rule = make_load_rule(context)
        ledger, rule = make_load_rule(context, load_weight=context.rule.load_weight)
        for ask_id, (number, seen_mean, factor, profile) in enumerate(requests):
            asked = GrantRequest(
                f"runner-{number}",
                SlotHolder("node", ask_id),
                context.now_ms,
                seen_mean=seen_mean,
                load_factor=factor,
                profile=profile,
            )
            expected = old_rule.check(asked)
            reason = rule.check(asked)
            reason = context.rule.check(asked) if reason is None else reason
            assert reason == expected
            if reason is None:
                for each in (old_ledger, ledger):
                    each.renew(asked.runner_id, asked.holder, now_ms=context.now_ms)
                context.rule.record_grant(asked)

    check_requests()


@when(
    "{runners:d} runners on {homes:d} homes serve that load for {duration_s:d} s with "
    "the rule and without it"
)
def serve_load(context, runners, homes, duration_s):
    context.pools = {}
    for has_rule in (True, False):
        pool = UnevenPool(runners=runners, homes=homes, has_rule=has_rule)
        pool.run(duration_ms=duration_s * 1_000)
        context.pools[has_rule] = pool


@then(
    "with the rule short calls start on slow runners at most {share:g} times as often"
)
def check_steered(context, share):
    slow, usual = (context.pools[key].slow_short_starts for key in (True, False))
    assert usual and slow <= share * usual, (slow, usual)


@then("no call with a long cached prompt is refused for speed")
def check_long_kept(context):
    assert context.pools[True].refused_long == 0


@then("all calls get a slot with the rule")
def check_all_served(context):
    pool = context.pools[True]
    assert pool.calls and pool.unserved == 0, (pool.calls, pool.unserved)


@then(
    "slower runners have a mean load weight of {low:g} to {high:g}, others of "
    "{usual_low:g} to {usual_high:g}"
)
def check_mean_weights(context, low, high, usual_low, usual_high):
    pool = context.pools[True]
    check_between(pool.mean_weight(is_slower=True), low, high)
    check_between(pool.mean_weight(is_slower=False), usual_low, usual_high)
