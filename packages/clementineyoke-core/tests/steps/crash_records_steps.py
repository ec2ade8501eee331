from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.crash_records import CrashRecord, CrashRecords


@given("no runner has ended yet")
def given_none(context):
    context.crash_records = CrashRecords()


@when(
    "runner {runner} ends at {ended:d} ms with a copy of"
    ' "{request}" that was sent at {sent:d} ms'
)
def runner_ends(context, runner, ended, request, sent):
    context.crash_records.record_crash(
        request.encode(), lifetime=runner, sent_ms=sent, crashed_ms=ended
    )


@when('runners {runners} end under "{request}", the last at {last:d} ms')
def runners_end(context, runners, request, last):
    names = runners.split(", ")
    for place, runner in enumerate(names):
        ended = last - 100 * (len(names) - 1 - place)
        runner_ends(context, runner, ended, request, ended - 50)


@when('"{request}" is answered at {now:d} ms')
def answered(context, request, now):
    context.crash_records.record_answer(request.encode(), now_ms=now)


@when('a peer tells late that "{request}" ended {runners}, the last at {last:d} ms')
def peer_tells(context, request, runners, last):
    names = tuple(runners.split(", "))
    record = CrashRecord(0, len(names), names, last)
    context.crash_records.merge(request.encode(), record, now_ms=last + 50)


@when("old records are dropped at {now:d} ms")
def drop_old(context, now):
    context.crash_records.drop_expired(now_ms=now)


@when("runners end with {count:d} other requests on them")
def many_end(context, count):
    for number in range(count):
        runner_ends(context, f"runner-{number}", 3000 + number, f"call-{number}", 2900)


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


@then("nothing is known any more")
def check_empty(context):
    assert context.crash_records.is_empty


@then("{count:d} requests are known")
def check_count(context, count):
    assert len(context.crash_records._records) == count
