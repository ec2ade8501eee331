from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.reachability_breaker import ReachabilityBreaker

RUNNER = "runner"


@given("{nodes:d} nodes that call a runner in turn, {rate:d} times a second")
def given_nodes(context, nodes, rate):
    context.count = nodes
    context.step_ms = 1000.0 / rate
    context.reachability = ReachabilityBreaker()
    context.met, context.answered, context.pauses = [], [], []


def play(context, *, until_ms, is_reached):
    """Let the nodes call one after the other unless the runner is paused."""
    now_ms, number = 0.0, 0
    while now_ms < until_ms:
        node = number % context.count
        if not context.reachability.is_paused(RUNNER, now_ms=now_ms):
            call(context, node, now_ms, is_reached(node, now_ms))
        number += 1
        now_ms += context.step_ms


def call(context, node, now_ms, is_reached):
    if is_reached:
        context.answered.append(now_ms)
        context.reachability.record_answer(RUNNER)
        return
    context.met.append(now_ms)
    if context.reachability.record_unreachable(
        RUNNER, reporter=f"node-{node}", now_ms=now_ms
    ):
        context.pauses.append(now_ms)


@when("it is dark from {start:d} ms to {end:d} ms")
def go_dark(context, start, end):
    context.back_ms = end
    play(
        context,
        until_ms=20_000,
        is_reached=lambda _, now_ms: not start <= now_ms < end,
    )


@when("node {node:d} cannot reach it for {seconds:d} s")
def cut_one(context, node, seconds):
    cut(context, {node}, seconds)


@when("nodes {first:d} and {second:d} cannot reach it for {seconds:d} s")
def cut_two(context, first, second, seconds):
    cut(context, {first, second}, seconds)


def cut(context, nodes, seconds):
    play(
        context,
        until_ms=seconds * 1000,
        is_reached=lambda node, _: node not in nodes,
    )


@then("at most {count:d} calls meet it while it is dark")
def check_met(context, count):
    assert context.pauses
    assert len(context.met) <= count, context.met


@then("it gets calls again before {ms:d} ms")
def check_back(context, ms):
    assert min(at for at in context.answered if at >= context.back_ms) < ms


@then("it is never paused")
def check_never(context):
    assert not context.pauses, context.pauses
