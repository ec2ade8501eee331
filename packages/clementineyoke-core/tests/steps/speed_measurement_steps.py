from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.capacity.event_pace import EventPace
from clementineyoke_core.capacity.recent_prompts import RecentPrompts
from clementineyoke_core.capacity.reporting_pools import ReportingPools
from clementineyoke_core.capacity.response_times import AnswerKind, ResponseTimes
from clementineyoke_core.capacity.speed_report import SpeedReport
from clementineyoke_core.capacity.speed_report_queue import SpeedReportQueue
from clementineyoke_core.runner import Runner, RunnerKind


def answer(context, route, time_ms):
    kind = AnswerKind("m", route, is_stream=False)
    return context.times.compare(kind, time_ms=time_ms, now_ms=context.now_ms)


@given(
    '{count:d} answers of "{one}" in {one_ms:d} ms and of "{other}" in {other_ms:d} ms'
)
def given_answers(context, count, one, one_ms, other, other_ms):
    context.times = ResponseTimes()
    context.now_ms = 0.0
    for _ in range(count):
        answer(context, one, one_ms)
        answer(context, other, other_ms)


@when("{pause_ms:d} ms pass")
def pass_time(context, pause_ms):
    context.now_ms += pause_ms


@then('an answer of "{route}" in {time_ms:d} ms took {percent:d} percent')
def check_percent(context, route, time_ms, percent):
    found = answer(context, route, time_ms)
    assert found == percent, found


@when("{count:d} routes have an answer each")
def answer_many(context, count):
    context.times = ResponseTimes()
    context.now_ms = 0.0
    for n in range(count):
        answer(context, f"route-{n}", 1.0)


@then("at most {count:d} kinds of answers are remembered")
def check_kinds(context, count):
    assert 0 < len(context.times._means) <= count


@when("a stream has events after {received} ms, each written after {written} ms")
def stream_events(context, received, written):
    context.pace = EventPace()
    for received_ms, written_ms in zip(
        received.split(","), written.split(","), strict=True
    ):
        context.pace.record(
            1, received_ms=float(received_ms), written_ms=float(written_ms)
        )


@then("its time per event is {pace_ms:g} ms")
def check_pace(context, pace_ms):
    assert context.pace.event_ms() == pace_ms, context.pace.event_ms()


def make_runner(number):
    return Runner(f"r-{number}", "a", 1, "z", "r", RunnerKind.SERVICE, "m", 8)


def put(context, number, percent, now_ms):
    context.queue.put(make_runner(number), SpeedReport(1, 0, 8, percent), now_ms=now_ms)


def take(context, now_ms):
    return [
        (queued.report.slowdown_percent, now_ms - queued.received_ms)
        for queued in context.queue.take_due(now_ms=now_ms)
    ]


@when("a runner reports 100, 250 and 300 within 20 ms")
def report_often(context):
    context.queue = SpeedReportQueue()
    context.sent = []
    for percent, now_ms in ((100, 0.0), (250, 10.0), (300, 20.0)):
        put(context, 1, percent, now_ms)
        context.sent += take(context, now_ms)


@then("its home is sent 100 at once and 300 after 50 ms that is 30 ms old")
def check_sent(context):
    assert context.sent == [(100, 0.0)], context.sent
    assert take(context, 49.0) == []
    assert take(context, 50.0) == [(300, 30.0)]
    assert take(context, 200.0) == []


@when(
    "{count:d} runners report at once, the last {slow:d} of them 250 and the others 100"
)
def report_many(context, count, slow):
    context.queue = SpeedReportQueue()
    for number in range(count):
        put(context, number, 250 if number >= count - slow else 100, 0.0)


@then("{count:d} reports are sent at once, {slow:d} of them of 250")
def check_first_sent(context, count, slow):
    percents = [percent for percent, _ in take(context, 0.0)]
    assert len(percents) == count, percents
    assert percents.count(250) == slow


@then("the waiting reports are not sorted again within {pause_ms:d} ms")
def check_not_sorted(context, pause_ms):
    context.changes = 0
    original = context.queue._change

    def count_change(queued):
        context.changes += 1
        return original(queued)

    context.queue._change = count_change
    for now_ms in range(1, pause_ms + 1):
        assert take(context, float(now_ms)) == []
    assert context.changes == 0, context.changes


@then("{count:d} report is sent after {pause_ms:d} ms")
def check_sent_later(context, count, pause_ms):
    assert len(take(context, float(pause_ms))) == count
    assert context.changes


@then("after {pause_ms:d} ms nothing is left to send")
def check_expired(context, pause_ms):
    context.queue.expire(now_ms=float(pause_ms))
    assert take(context, float(pause_ms)) == []
    assert not context.queue._sent


@given("a pool that reports its speed")
def given_reporting_pool(context):
    context.pools = ReportingPools()
    assert context.pools.record("m", now_ms=0.0)
    assert not context.pools.record("m", now_ms=0.0)


@then("it counts as reporting after {pause_ms:d} ms")
def check_reporting(context, pause_ms):
    context.pools.expire(now_ms=float(pause_ms))
    assert context.pools.has_reports("m")


@then("it does not count as reporting after {pause_ms:d} ms")
def check_not_reporting(context, pause_ms):
    context.pools.expire(now_ms=float(pause_ms))
    assert not context.pools.has_reports("m")
    assert context.pools.pools() == set()


@given("a runner that has been given calls for {duration_ms:d} ms")
def given_known_runner(context, duration_ms):
    context.prompts = RecentPrompts()
    context.prompts.record("r-1", 0, now_ms=0.0)
    context.now_ms = float(duration_ms)


@when("{count:d} prompts are granted on it")
def grant_prompts(context, count):
    context.last_key = count
    for key in range(1, count + 1):
        context.prompts.record("r-1", key, now_ms=context.now_ms)


def may_have(context, key):
    return context.prompts.may_have("r-1", key, now_ms=context.now_ms)


@then("it may have the last prompt and not the first one")
def check_bounded(context):
    assert may_have(context, context.last_key)
    assert not may_have(context, 1)


@then("after {pause_ms:d} ms it has none of them")
def check_forgotten(context, pause_ms):
    context.now_ms += pause_ms
    assert not may_have(context, context.last_key)
