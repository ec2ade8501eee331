from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.mean_load import MeanLoadEstimator

POOL = "model"


@given("{count:d} nodes with loads from 0 to {most:d} and one runner each")
def make_nodes(context, count, most):
    context.rng = Random(3)
    context.loads = [context.rng.randint(0, most) for _ in range(count)]
    context.means = [MeanLoadEstimator() for _ in range(count)]
    for mean, load in zip(context.means, context.loads, strict=True):
        mean.set_local(POOL, load=load, runners=1)


def run_rounds(context, rounds, loss):
    for _ in range(rounds):
        for mean in context.means:
            peer = context.rng.choice(context.means)
            if peer is mean:
                continue
            pushed = mean.begin_round()
            replied = peer.merge(pushed)
            if context.rng.random() >= loss:
                mean.finish_round(pushed=pushed, replied=replied)


@when("{rounds:d} rounds of exchanges have passed")
def pass_rounds(context, rounds):
    run_rounds(context, rounds, loss=0.0)


@when("{rounds:d} rounds have passed in which one reply in {share:d} is lost")
def pass_lossy_rounds(context, rounds, share):
    run_rounds(context, rounds, loss=1 / share)


@when("one home grants {count:d} slots in a burst")
def burst(context, count):
    context.before = context.means[0].mean(POOL)
    context.means[0].set_local(POOL, load=context.loads[0] + count, runners=1)


@then("that home's estimate has not moved")
def check_still(context):
    assert context.means[0].mean(POOL) == context.before


@then("every estimate is within {percent:d} percent of the true mean")
def check_estimates(context, percent):
    true_mean = sum(context.loads) / len(context.loads)
    worst = max(abs(mean.mean(POOL) - true_mean) for mean in context.means)
    assert worst <= true_mean * percent / 100, (worst, true_mean)
