from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.mean_load import MeanLoadEstimator

POOL = "model"


@given("{count:d} nodes with loads from 0 to {max_load:d} and one runner each")
def make_nodes(context, count, max_load):
    context.rng = Random(3)
    context.loads = [context.rng.randint(0, max_load) for _ in range(count)]
    context.estimators = [MeanLoadEstimator() for _ in range(count)]
    for estimator, load in zip(context.estimators, context.loads, strict=True):
        estimator.set_local(POOL, load=load, runners=1)


def run_rounds(context, rounds, loss):
    for _ in range(rounds):
        for estimator in context.estimators:
            peer = context.rng.choice(context.estimators)
            if peer is estimator:
                continue
            pushed = estimator.begin_round()
            replied = peer.merge(pushed)
            if context.rng.random() >= loss:
                estimator.finish_round(pushed=pushed, replied=replied)


@when("{rounds:d} rounds of exchanges have passed")
def pass_rounds(context, rounds):
    run_rounds(context, rounds, loss=0.0)


@when("{rounds:d} rounds have passed in which one reply in {share:d} is lost")
def pass_lossy_rounds(context, rounds, share):
    run_rounds(context, rounds, loss=1 / share)


@when("one home grants {count:d} slots in a burst")
def burst(context, count):
    context.before = context.estimators[0].mean(POOL)
    context.estimators[0].set_local(POOL, load=context.loads[0] + count, runners=1)


@then("that home's estimate is unchanged")
def check_unchanged(context):
    assert context.estimators[0].mean(POOL) == context.before


@then("every estimate is within {percent:d} percent of the true mean")
def check_estimates(context, percent):
    true_mean = sum(context.loads) / len(context.loads)
    max_error = max(
        abs(estimator.mean(POOL) - true_mean) for estimator in context.estimators
    )
    assert max_error <= true_mean * percent / 100, (max_error, true_mean)


@when("a node removes the pool between its push and the reply")
def remove_pool(context):
    first, second = context.estimators
    pushed = first.begin_round()
    replied = second.merge(pushed)
    first.remove(POOL)
    first.finish_round(pushed=pushed, replied=replied)


@then("that node holds no share and no estimate of the pool")
def check_removed(context):
    assert context.estimators[0].shares() == {}
    assert context.estimators[0].mean(POOL) == 0.0


@then("the other node still holds its share")
def check_kept(context):
    assert POOL in context.estimators[1].shares()
