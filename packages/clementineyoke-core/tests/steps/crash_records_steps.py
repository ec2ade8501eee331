from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.crash_records import CrashRecord, CrashRecords


@given("no runner has crashed yet")
def given_none(context):
    context.crash_records = CrashRecords()


@when(
    "runner {runner} crashes at {crashed:d} ms with a copy of"
    ' "{request}" that was sent at {sent:d} ms'
)
def runner_crashes(context, runner, crashed, request, sent):
    context.crash_records.record_crash(
        request.encode(), lifetime=runner, sent_ms=sent, crashed_ms=crashed
    )


@when('runners {runners} crash while running "{request}", the last at {last:d} ms')
def runners_crash(context, runners, request, last):
    names = runners.split(", ")
    for index, runner in enumerate(names):
        crashed = last - 100 * (len(names) - 1 - index)
        runner_crashes(context, runner, crashed, request, crashed - 50)


@when('"{request}" is answered at {now:d} ms')
def answered(context, request, now):
    context.crash_records.record_answer(request.encode(), now_ms=now)


@when('a peer reports late that "{request}" crashed {runners}, the last at {last:d} ms')
def peer_reports(context, request, runners, last):
    names = tuple(runners.split(", "))
    record = CrashRecord(0, len(names), names, last)
    context.crash_records.merge(request.encode(), record, now_ms=last + 50)


@when("expired records are dropped at {now:d} ms")
def drop_expired(context, now):
    context.crash_records.drop_expired(now_ms=now)


@when("runners crash with {count:d} other requests on them")
def many_crash(context, count):
    for number in range(count):
        runner_crashes(
            context, f"runner-{number}", 3000 + number, f"call-{number}", 2900
        )


def judge(context, request, now):
    records = context.crash_records
    digest = request.encode()
    is_refused = records.refused_for_ms(digest, now_ms=now) > 0
    return records.is_suspect(digest), is_refused


@then('"{request}" is refused at {now:d} ms')
def check_refused(context, request, now):
    assert judge(context, request, now) == (True, True), context.crash_records.get(
        request.encode()
    )


@then('"{request}" is suspected and not refused at {now:d} ms')
def check_suspected(context, request, now):
    assert judge(context, request, now) == (True, False)


@then('"{request}" is neither suspected nor refused at {now:d} ms')
def check_free(context, request, now):
    assert judge(context, request, now) == (False, False), context.crash_records.get(
        request.encode()
    )


@then("there are no records")
def check_empty(context):
    assert context.crash_records.is_empty


@then("there are {count:d} records")
def check_count(context, count):
    assert len(context.crash_records._records) == count
