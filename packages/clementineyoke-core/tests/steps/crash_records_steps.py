from __future__ import annotations

from behave import given, register_type, then, when
from parse import with_pattern

from clementineyoke_core.edge.crash_factors import CrashFactors, crash_factors
from clementineyoke_core.edge.crash_judge import CrashJudge
from clementineyoke_core.edge.crash_records import (
    CRASHES_TO_SUSPECT,
    Crash,
    CrashRecord,
    CrashRecords,
)
from clementineyoke_core.edge.prompt_key import PromptPart
from clementineyoke_core.edge.request_digest import request_digest


@with_pattern(r'"[^"]+"(?:, "[^"]+")*')
def parse_names(text):
    return text


register_type(Names=parse_names)
TEAM = "team"
TEAM_HASH = 1
CRASH_INTERVAL_MS = 100


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
    history = tuple(Crash(name, last) for name in names)
    record = CrashRecord(0, len(names), history, last)
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
    """Return whether a request is suspected, and whether it is refused."""
    digest = request.encode()
    verdict = CrashJudge(records=context.crash_records).verdict(
        CrashFactors(digest, (), TEAM_HASH), now_ms=now
    )
    is_suspect = context.crash_records.get(digest).crashes >= CRASHES_TO_SUSPECT
    return is_suspect, verdict is not None and verdict.left_ms > 0


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
    assert len(context.crash_records) == count


def call_factors(parts, *, team=TEAM, number=0):
    """Return the factors of a call that is alike to no other."""
    body = b"body %d" % number
    return crash_factors(
        request=request_digest(team=team, method="POST", target="/", body=body),
        team=team,
        prompt_parts=[PromptPart(part, 1) for part in (*parts, f"own-{number}")],
    )


def crash_under(context, runner, factors, *, crashed, answered=None):
    for digest in factors.digests:
        context.crash_records.record_crash(
            digest,
            lifetime=runner,
            sent_ms=crashed - CRASH_INTERVAL_MS // 2,
            crashed_ms=crashed,
            companions=[other for other in factors.digests if other != digest],
            team=None if digest == factors.request else factors.team,
            answered_ms=answered,
        )


def crash_in_turn(context, runners, prompts, last, *, is_answered=lambda _: False):
    names = runners.split(", ")
    for index, runner in enumerate(names):
        crashed = last - CRASH_INTERVAL_MS * (len(names) - 1 - index)
        factors = call_factors(prompts[index % len(prompts)], number=index)
        answered = crashed - CRASH_INTERVAL_MS // 4 if is_answered(index) else None
        crash_under(context, runner, factors, crashed=crashed, answered=answered)


def part_names(text):
    return [name.strip('" ') for name in text.split(",")]


@when("runners {runners} crash under calls with {parts:Names}, the last at {last:d} ms")
def crash_under_parts(context, runners, parts, last):
    crash_in_turn(context, runners, [part_names(parts)], last)


@when(
    "runners {runners} crash in turn under calls with {prompts},"
    " the last at {last:d} ms"
)
def crash_under_prompts(context, runners, prompts, last):
    crash_in_turn(
        context, runners, [part_names(p) for p in prompts.split(" or ")], last
    )


@when(
    "runners {runners} crash under answered calls with {parts}, the last at {last:d} ms"
)
def crash_with_answers(context, runners, parts, last):
    prompts = [part_names(parts)]
    crash_in_turn(context, runners, prompts, last, is_answered=lambda _: True)


@when(
    "runners {runners} crash under calls with {part}, answered before,"
    " the last at {last:d} ms"
)
def crash_after_answer(context, runners, part, last):
    prompts = [part_names(part)]
    crash_in_turn(context, runners, prompts, last, is_answered=lambda n: not n)


@when("runners {runners} crash under calls of {count:d} parts, the last at {last:d} ms")
def crash_under_many(context, runners, count, last):
    crash_in_turn(context, runners, [[f"{n:x}" for n in range(count)]], last)


@when("the record of {part} is lost")
def lose_record(context, part):
    (factor,) = call_factors(part_names(part)).parts
    context.crash_records._delete(factor)


@when("a call of another team with {parts} is answered at {now:d} ms")
def answer_other_team(context, parts, now):
    factors = call_factors(part_names(parts), team="another")
    for digest in factors.digests:
        context.crash_records.record_answer(digest, now_ms=now, team=factors.team)


@when("runner {runner} crashes under a call of another team with {parts} at {now:d} ms")
def crash_other_team(context, runner, parts, now):
    factors = call_factors(part_names(parts), team="another", number=99)
    crash_under(context, runner, factors, crashed=now)


def is_refused(context, parts, now, *, team=TEAM):
    verdict = CrashJudge(records=context.crash_records).verdict(
        call_factors(parts, team=team, number=1_000), now_ms=now
    )
    return verdict is not None and verdict.left_ms > 0


@then("a call of {count:d} parts is refused at {now:d} ms")
def check_long_refused(context, count, now):
    assert is_refused(context, [f"{n:x}" for n in range(count)], now)


@then("a call with {parts} is refused at {now:d} ms")
def check_call_refused(context, parts, now):
    assert is_refused(context, part_names(parts), now)


@then("a call with {parts} is not refused at {now:d} ms")
def check_call_served(context, parts, now):
    assert not is_refused(context, part_names(parts), now)


@then("a call of another team with {parts} is not refused at {now:d} ms")
def check_other_team(context, parts, now):
    assert not is_refused(context, part_names(parts), now, team="another")


@then("a call of a third team with {parts} is refused at {now:d} ms")
def check_third_team(context, parts, now):
    assert is_refused(context, part_names(parts), now, team="third")
