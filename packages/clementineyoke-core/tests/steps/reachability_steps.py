from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.reachability_breaker import ReachabilityBreaker

RUNNER = "runner"


@given("{nodes:d} nodes that call a runner in turn, {rate:d} times a second")
def given_nodes(context, nodes, rate):
    context.count = nodes
    context.step_ms = 1000.0 / rate
    context.breaker = ReachabilityBreaker()
    context.now_ms = 0.0
    context.failed_at_ms, context.answered, context.paused_at_ms = [], [], []


def call_in_turn(context, *, until_ms, is_reached):
    """Let the nodes call in turn while the runner is not paused."""
    now_ms, number = 0.0, 0
    while now_ms < until_ms:
        node = number % context.count
        if not context.breaker.is_paused(RUNNER, now_ms=now_ms):
            call(context, node, now_ms, is_reached(node, now_ms))
        number += 1
        now_ms += context.step_ms


def call(context, node, now_ms, is_reached):
    if is_reached:
        context.answered.append(now_ms)
        context.breaker.record_answer(RUNNER)
        return
    context.failed_at_ms.append(now_ms)
    if context.breaker.record_unreachable(
        RUNNER, reporter=f"node-{node}", now_ms=now_ms
    ):
        context.paused_at_ms.append(now_ms)


@when("it is unreachable from {start_ms:d} ms to {end_ms:d} ms")
def become_unreachable(context, start_ms, end_ms):
    context.back_at_ms = end_ms
    call_in_turn(
        context,
        until_ms=20_000,
        is_reached=lambda _, now_ms: not start_ms <= now_ms < end_ms,
    )


@when("node {node:d} cannot reach it for {seconds:d} s")
def cut_off_one(context, node, seconds):
    cut_off(context, {node}, seconds)


@when("nodes {first:d} and {second:d} cannot reach it for {seconds:d} s")
def cut_off_two(context, first, second, seconds):
    cut_off(context, {first, second}, seconds)


def cut_off(context, nodes, seconds):
    call_in_turn(
        context,
        until_ms=seconds * 1000,
        is_reached=lambda node, _: node not in nodes,
    )


@then("at most {count:d} calls fail while it is unreachable")
def check_failed(context, count):
    assert context.paused_at_ms
    assert len(context.failed_at_ms) <= count, context.failed_at_ms


@then("it gets calls again before {ms:d} ms")
def check_back(context, ms):
    assert min(at for at in context.answered if at >= context.back_at_ms) < ms


@then("it is never paused")
def check_never(context):
    assert not context.paused_at_ms, context.paused_at_ms


@when("nodes {first:d} and {second:d} report it as unreachable")
def report(context, first, second):
    for node in (first, second):
        call(context, node, context.now_ms, is_reached=False)


@when("another node reaches it")
def reach(context):
    context.breaker.record_reached(RUNNER, now_ms=context.now_ms)


@when("{ms:d} ms pass")
def pass_time(context, ms):
    context.now_ms += ms


@then("it is paused")
def check_paused(context):
    assert context.breaker.is_paused(RUNNER, now_ms=context.now_ms)


@then("it is not paused")
def check_not_paused(context):
    assert not context.breaker.is_paused(RUNNER, now_ms=context.now_ms)
