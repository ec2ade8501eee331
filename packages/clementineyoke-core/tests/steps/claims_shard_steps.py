from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.claims.decision import ClaimVerdict
from clementineyoke_core.claims.record import KeptAnswer
from clementineyoke_core.claims.shard import (
    KEEP_MS,
    LARGEST_SHARD_BYTES,
    ClaimAsk,
    ClaimReport,
    ClaimShard,
)


def make_ask(key, holder, digest="digest"):
    return ClaimAsk(key, holder, digest)


def land(context, write):
    """Do as the platform does; return the new version or None."""
    if write.expected_version != context.version:
        return None
    context.version += 1
    context.body = write.body
    return context.version


def claim(context, number, key, holder, wall_ms=0):
    home = context.homes[number]
    write = home.prepare_write([make_ask(key, holder)], [], wall_ms=wall_ms)
    version = land(context, write)
    if version is not None:
        home.written(write, version=version)
    return version


def read_again(context, number):
    home = context.homes[number]
    home.distrust()
    home.load(version=context.version, body=context.body)


@given("an empty shard and two homes that have read it")
def given_homes(context):
    context.version, context.body = 0, None
    context.homes = {1: ClaimShard(), 2: ClaimShard()}
    for home in context.homes.values():
        home.load(version=0, body=None)


@when('home {number:d} claims "{key}" for holder {holder} and loses the reply')
def claim_lost(context, number, key, holder):
    home = context.homes[number]
    land(context, home.prepare_write([make_ask(key, holder)], [], wall_ms=0))


@when('home {number:d} claims "{key}" for holder {holder:w}')
def claim_key(context, number, key, holder):
    assert claim(context, number, key, holder) is not None


@when('home {number:d} tries to claim "{key}" for holder {holder}')
def try_claim(context, number, key, holder):
    context.landed = claim(context, number, key, holder)


@when('holder {holder} reports at home {number:d} that it ran with answer "{text}"')
def report(context, holder, number, text):
    answer = KeptAnswer(200, "text/plain", text.encode())
    context.homes[number].note(ClaimReport("score-1", holder, True, answer))


@when('home {number:d} writes at once that {holder} asks for and gives up "{key}"')
def batch(context, number, holder, key):
    home = context.homes[number]
    report = ClaimReport(key, holder, False)
    write = home.prepare_write([make_ask(key, holder)], [report], wall_ms=0)
    home.written(write, version=land(context, write))


@when('the claim expires and home {number:d} claims "{key}" for holder {holder}')
def expire(context, number, key, holder):
    assert claim(context, number, key, holder, wall_ms=KEEP_MS + 1) is not None


@when("home {number:d} has claims of {size:d} bytes")
def fill(context, number, size):
    assert size == LARGEST_SHARD_BYTES
    home = context.homes[number]
    asks = [make_ask(f"{n:032x}", f"holder-{n}") for n in range(14_000)]
    write = home.prepare_write(asks, [], wall_ms=0)
    assert size <= len(write.body) < 1_000_000, len(write.body)
    home.written(write, version=land(context, write))


@then("the write of home {number:d} is refused")
def check_refused(context, number):
    assert context.landed is None


@then("after reading again home {number:d} tells holder {holder} {verdict:w}")
def check_after_read(context, number, holder, verdict):
    read_again(context, number)
    check_verdict(context, number, holder, verdict)


@then('home {number:d} tells holder {holder:w} answered with "{text}"')
def check_answer(context, number, holder, text):
    decision = context.homes[number].decide(make_ask("score-1", holder))
    assert decision.verdict is ClaimVerdict.ANSWERED
    assert decision.answer.body == text.encode()


@then("home {number:d} tells holder {holder:w} with another request mismatch")
def check_mismatch(context, number, holder):
    decision = context.homes[number].decide(make_ask("score-1", holder, "other"))
    assert decision.verdict is ClaimVerdict.MISMATCH


@then("home {number:d} tells holder {holder:w} {verdict:w}")
def check_verdict(context, number, holder, verdict):
    decision = context.homes[number].decide(make_ask("score-1", holder))
    assert decision.verdict is ClaimVerdict[verdict.upper()], decision


@then('home {number:d} has no claim on "{key}"')
def check_free(context, number, key):
    assert context.homes[number].decide(make_ask(key, "anyone")) is None
