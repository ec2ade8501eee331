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


def list_entry_nodes(context):
    return choose_entry_nodes(context.nodes, calls_per_s=context.calls_per_s)


@given(
    "{strong:d} hosts that sustain {high:d} and {weak:d} that sustain {low:d} calls a"
    " second, in {zones:d} zones"
)
def given_hosts(context, strong, high, weak, low, zones):
    capacities = [high] * strong + [low] * weak
    context.nodes = [
        make_node(number, zones, capacity) for number, capacity in enumerate(capacities)
    ]


@when("the fleet has {rate:d} calls a second")
def set_rate(context, rate):
    context.calls_per_s = float(rate)


@when("{count:d} of the strong hosts are lost")
def lose(context, count):
    context.nodes = context.nodes[count:]


@then("{count:d} nodes are listed, each of which sustains {min_calls:d}")
def check_listed(context, count, min_calls):
    listed = list_entry_nodes(context)
    assert len(listed) == len(set(listed)) == count, len(listed)
    assert min(node.calls_per_s for node in listed) >= min_calls


@then("the listed nodes are in {zones:d} zones")
def check_zones(context, zones):
    assert len({node.availability_zone for node in list_entry_nodes(context)}) == zones


@then("every node of the fleet lists the same ones")
def check_same(context):
    expected = set(list_entry_nodes(context))
    rng = Random(SEED)
    for _ in range(10):
        rng.shuffle(context.nodes)
        assert set(list_entry_nodes(context)) == expected


@then(
    "if one of the listed nodes is lost, at least {count:d} of the others stay listed"
)
def check_change(context, count):
    before = list_entry_nodes(context)
    context.nodes.remove(before[0])
    assert len(set(before) & set(list_entry_nodes(context))) >= count


@then("a host with {cores:g} cores and {mbps:g} Mbit sustains {calls:d} calls a second")
def check_capacity(context, cores, mbps, calls):
    assert capacity_calls_per_s(cpu_cores=cores, link_mbps=mbps) == calls


@when("a node gets {rate:d} calls a second for {seconds:d} s")
def get_calls(context, rate, seconds):
    context.rate = CallRate()
    for number in range(rate * seconds):
        context.now_ms = number * 1000 / rate
        context.rate.record(now_ms=context.now_ms)


@then("its rate is between {low:d} and {high:d} calls a second")
def check_rate(context, low, high):
    assert low <= context.rate.per_s(now_ms=context.now_ms) <= high


@then("{seconds:d} s after the last call its rate is below {high:d}")
def check_decayed(context, seconds, high):
    now_ms = context.now_ms + seconds * 1000
    assert context.rate.per_s(now_ms=now_ms) < high
