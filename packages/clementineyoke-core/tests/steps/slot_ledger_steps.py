from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger

RUNNER = "engine-1"


def make_holder(number):
    return SlotHolder("node-1", number)


@given("a ledger with leases of {lease_ms:d} ms")
def make_ledger(context, lease_ms):
    context.lease_ms = lease_ms
    context.ledger = SlotLedger(lease_ms=lease_ms)


@when("node-1 requests a slot twice for the same call under a bound of {bound:d}")
def request_twice(context, bound):
    for _ in range(2):
        context.ledger.acquire(RUNNER, make_holder(1), bound=bound, now_ms=0).unwrap()


@when("{count:d} calls hold slots under a bound of {bound:d}")
def acquire_slots(context, count, bound):
    for number in range(count):
        context.ledger.acquire(
            RUNNER, make_holder(number), bound=bound, now_ms=0
        ).unwrap()


@when("one of them renews after {now_ms:d} ms and the other never does")
def renew_one(context, now_ms):
    context.ledger.renew(RUNNER, make_holder(0), now_ms=now_ms)


@when("a new ledger takes over and {count:d} holders renew there")
def take_over(context, count):
    context.ledger = SlotLedger(lease_ms=context.lease_ms)
    for number in range(count):
        context.ledger.renew(RUNNER, make_holder(number), now_ms=0)


@then("a third call is refused with a load of {load:d}")
def check_refused(context, load):
    refusal = context.ledger.acquire(
        RUNNER, make_holder(99), bound=2, now_ms=1
    ).failure()
    assert refusal.in_use == load


@then("after {now_ms:d} ms {count:d} slot is in use")
def check_after(context, now_ms, count):
    context.ledger.expire(now_ms=now_ms)
    assert context.ledger.in_use(RUNNER) == count


@then("{count:d} slot is in use")
def check_in_use(context, count):
    assert context.ledger.in_use(RUNNER) == count
