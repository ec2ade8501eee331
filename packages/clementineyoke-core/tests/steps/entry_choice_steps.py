from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.call_rate import CallRate
from clementineyoke_core.edge.entry_nodes import choose_entry_nodes
from clementineyoke_core.edge.node_capacity import capacity_calls_per_s
from clementineyoke_core.node import Node

SEED = 195


def make_node(number, zones, calls_per_s):
    zone = f"zone-{number % zones}"
    return Node(f"node-{number}", "127.0.0.1", 1, number, zone, "region", calls_per_s)


def name_nodes(context):
    return choose_entry_nodes(context.nodes, calls_per_s=context.calls_per_s)


@given(
    "{strong:d} hosts that bear {most:d} and {weak:d} that bear {least:d} calls a"
    " second, in {zones:d} zones"
)
def given_hosts(context, strong, most, weak, least, zones):
    figures = [most] * strong + [least] * weak
    context.nodes = [
        make_node(number, zones, figure) for number, figure in enumerate(figures)
    ]


@when("the fleet has {rate:d} calls a second")
def set_rate(context, rate):
    context.calls_per_s = float(rate)


@when("{count:d} of the strong hosts are lost")
def lose(context, count):
    context.nodes = context.nodes[count:]


@then("{count:d} nodes are named, each of which bears {least:d}")
def check_named(context, count, least):
    named = name_nodes(context)
    assert len(named) == len(set(named)) == count, len(named)
    assert min(node.calls_per_s for node in named) >= least


@then("the named ones lie in {zones:d} zones")
def check_zones(context, zones):
    assert len({node.availability_zone for node in name_nodes(context)}) == zones


@then("every node of the fleet names the same ones")
def check_same(context):
    expected = set(name_nodes(context))
    rng = Random(SEED)
    for _ in range(10):
        rng.shuffle(context.nodes)
        assert set(name_nodes(context)) == expected


@then("with one of the named ones lost at least {count:d} others stay")
def check_change(context, count):
    before = name_nodes(context)
    context.nodes.remove(before[0])
    assert len(set(before) & set(name_nodes(context))) >= count


@then("a host with {cores:g} cores and {mbps:g} Mbit bears {calls:d} calls a second")
def check_borne(context, cores, mbps, calls):
    assert capacity_calls_per_s(cpu_cores=cores, link_mbps=mbps) == calls


@when("a node has {rate:d} calls a second for {seconds:d} s")
def call(context, rate, seconds):
    context.rate = CallRate()
    for number in range(rate * seconds):
        context.now_ms = number * 1000 / rate
        context.rate.record(now_ms=context.now_ms)


@then("its rate is between {least:d} and {most:d} calls a second")
def check_rate(context, least, most):
    assert least <= context.rate.per_s(now_ms=context.now_ms) <= most


@then("{seconds:d} s after the last one it is under {most:d}")
def check_faded(context, seconds, most):
    now_ms = context.now_ms + seconds * 1000
    assert context.rate.per_s(now_ms=now_ms) < most
