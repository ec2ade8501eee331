from __future__ import annotations

from collections import Counter
from random import Random

from behave import given, then, when

from clementineyoke_core.claims.chain import (
    MAX_SEGMENT_BYTES,
    RETENTION_MS,
    SEGMENT_SPAN_MS,
    ClaimChain,
    WriteKind,
)
from clementineyoke_core.claims.decision import ClaimVerdict
from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
from clementineyoke_core.claims.record import StoredAnswer
from clementineyoke_core.claims.segment import MAX_SEGMENTS
from clementineyoke_standins.platform.chain_platform import ChainPlatform

SHARD = "claims/0"
START_MS = 1_000


def make_claim(key, holder, digest="digest"):
    return ClaimAttempt(key, holder, digest)


def write(context, number, claims, reports=(), wall_ms=START_MS):
    """Write until the claims are durable; return False if a write is refused."""
    home = context.homes[number]
    while True:
        update = home.next_write(claims, list(reports), wall_ms=wall_ms)
        version = context.platform.apply_write(update)
        if version is None:
            return False
        home.record_written(update, version=version)
        if update.kind is WriteKind.CLAIMS:
            return True


def read_again(context, number):
    home = context.homes[number]
    home.mark_stale()
    home.load(context.platform.read())


@given("an empty shard and two homes that have read it")
def given_homes(context):
    context.platform = ChainPlatform(shard=SHARD)
    context.homes = {1: ClaimChain(shard=SHARD), 2: ClaimChain(shard=SHARD)}
    for home in context.homes.values():
        home.load(context.platform.read())


@when('home {number:d} claims "{key}" for holder {holder} and the reply is lost')
def claim_lost(context, number, key, holder):
    home = context.homes[number]
    update = home.next_write([make_claim(key, holder)], [], wall_ms=START_MS)
    assert context.platform.apply_write(update)


@when('home {number:d} claims "{key}" for holder {holder:w}')
def claim_key(context, number, key, holder):
    assert write(context, number, [make_claim(key, holder)])


@when('home {number:d} tries to claim "{key}" for holder {holder}')
def try_claim(context, number, key, holder):
    context.is_written = write(context, number, [make_claim(key, holder)])


@when('holder {holder} reports at home {number:d} that it ran with answer "{text}"')
def report(context, holder, number, text):
    answer = StoredAnswer(200, "text/plain", text.encode())
    context.homes[number].apply_report(ClaimReport("score-1", holder, True, answer))


@when('home {number:d} writes both that {holder} claims and that it gives up "{key}"')
def batch(context, number, holder, key):
    report = ClaimReport(key, holder, False)
    assert write(context, number, [make_claim(key, holder)], [report])


@when('the claim expires and home {number:d} claims "{key}" for holder {holder}')
def expire(context, number, key, holder):
    later_ms = START_MS + SEGMENT_SPAN_MS
    assert write(context, number, [make_claim("other", "O")], wall_ms=later_ms)
    later_ms += RETENTION_MS + SEGMENT_SPAN_MS
    assert write(context, number, [make_claim(key, holder)], wall_ms=later_ms)


@when("home {number:d} moves on to the next segment")
def move_on(context, number):
    later_ms = START_MS + SEGMENT_SPAN_MS
    assert write(context, number, [make_claim("other", "O")], wall_ms=later_ms)
    assert context.platform.read().head.open == 1


@when("claims of {size:d} bytes fill every segment of home {number:d}")
def fill(context, size, number):
    assert size == MAX_SEGMENT_BYTES
    for segment in range(MAX_SEGMENTS):
        claims = [
            make_claim(f"{segment:04x}{n:020x}", f"holder-{n}") for n in range(9_000)
        ]
        assert write(context, number, claims)
    assert all(len(body) < 1_000_000 for _, body in context.platform.objects.values())
    assert write(context, number, [make_claim("one-more", "O")])


@then(
    'home {number:d} answers a claim of "{key}" by holder {holder:w} with unavailable'
)
def check_full(context, number, holder, key):
    decision = context.homes[number].decide(make_claim(key, holder))
    assert decision.verdict is ClaimVerdict.UNAVAILABLE


@then("after the retention time home {number:d} grants again")
def check_granted_again(context, number):
    later_ms = START_MS + RETENTION_MS + 1
    assert write(context, number, [make_claim("late", "L")], wall_ms=later_ms)
    decision = context.homes[number].decide(make_claim("late", "L"))
    assert decision.verdict is ClaimVerdict.GRANTED


@when("{count:d} random walks of two homes claim, pause, lose replies and move on")
def walk(context, count):
    context.grants = Counter()
    context.steps = Counter()
    for seed in range(count):
        random_walk(Random(seed), context)


def random_walk(rng, context):
    platform = ChainPlatform(shard=SHARD)
    homes = [ClaimChain(shard=SHARD, span_ms=3, retention_ms=100_000) for _ in range(2)]
    pending = [None, None]
    granted = {}
    for now_ms in range(1, 60):
        index = rng.randrange(2)
        home = homes[index]
        key, holder = f"key-{rng.randrange(3)}", f"holder-{index}-{now_ms}"
        if pending[index] is not None:
            update, pending[index] = pending[index], None
            version = platform.apply_write(update)
            if version is None or rng.random() < 0.2:
                home.mark_stale()
                context.steps["refused" if version is None else "lost"] += 1
            else:
                home.record_written(update, version=version)
                context.steps[update.kind.value] += 1
                check_grants(home, update, granted, context)
        elif not home.is_loaded:
            home.load(platform.read())
        elif home.decide(make_claim(key, holder)) is None:
            pending[index] = home.next_write(
                [make_claim(key, holder)], [], wall_ms=now_ms
            )


def check_grants(home, update, granted, context):
    """Check that the holder granted each key never changes."""
    if update.kind is not WriteKind.CLAIMS:
        return
    for key, record in update.result.records.items():
        decision = home.decide(make_claim(key, record.holder))
        assert decision.verdict is ClaimVerdict.GRANTED
        assert granted.setdefault(key, record.holder) == record.holder, (key, granted)
        context.grants[key] += 1


@then("no key was ever granted to two holders")
def check_walks(context):
    assert context.grants


@then("every kind of write, refusals and lost replies occurred")
def check_kinds(context):
    expected = {kind.value for kind in WriteKind} | {"refused", "lost"}
    assert set(context.steps) == expected, context.steps


@then("the write of home {number:d} is refused")
def check_refused(context, number):
    assert context.is_written is False


@then("after reading again home {number:d} answers holder {holder} with {verdict:w}")
def check_after_read(context, number, holder, verdict):
    read_again(context, number)
    check_verdict(context, number, holder, verdict)


@then('home {number:d} gives holder {holder:w} the stored answer "{text}"')
def check_answer(context, number, holder, text):
    decision = context.homes[number].decide(make_claim("score-1", holder))
    assert decision.verdict is ClaimVerdict.ANSWERED
    assert decision.answer.body == text.encode()


@then("home {number:d} answers holder {holder:w} of another request with mismatch")
def check_mismatch(context, number, holder):
    decision = context.homes[number].decide(make_claim("score-1", holder, "other"))
    assert decision.verdict is ClaimVerdict.MISMATCH


@then("after reading again home {number:d} has no claim of holder {holder}")
def check_open(context, number, holder):
    read_again(context, number)
    assert context.homes[number].decide(make_claim("score-1", holder)) is None


@then("home {number:d} answers holder {holder:w} with {verdict:w}")
def check_verdict(context, number, holder, verdict):
    decision = context.homes[number].decide(make_claim("score-1", holder))
    assert decision.verdict is ClaimVerdict[verdict.upper()], decision


@then('home {number:d} has no claim on "{key}"')
def check_free(context, number, key):
    assert context.homes[number].decide(make_claim(key, "anyone")) is None
