from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.peer_reach import PeerReach
from clementineyoke_core.node import Node

POOL = 7


@given('a node with the peers "{names}"')
def given_peers(context, names):
    context.peers = [
        Node(name, f"10.0.0.{number}", 80, 81, "zone", "region", 100)
        for number, name in enumerate(names.split(", "))
    ]
    context.reach = PeerReach(rng=Random(1))


@when('"{name}" reports at {ms:d} ms that it cannot reach the pool')
def report(context, name, ms):
    context.reach.record_report(name, [POOL], now_ms=ms)


@when('"{name}" accepts no connection at {ms:d} ms')
def fail(context, name, ms):
    context.reach.record_failure(name, now_ms=ms)


@when('"{name}" refuses a call at {ms:d} ms')
def refuse(context, name, ms):
    context.reach.record_refusal(name, POOL, now_ms=ms)


def choose(context, ms):
    chosen = context.reach.choose(context.peers, POOL, max_nodes=3, now_ms=ms)
    return [node.node_id for node in chosen]


@then('the node offers calls to "{names}" at {ms:d} ms')
def check_offered(context, names, ms):
    assert sorted(choose(context, ms)) == names.split(", "), choose(context, ms)


@then('the node offers calls to "{name}" after all others at {ms:d} ms')
def check_last(context, name, ms):
    for _ in range(50):
        assert choose(context, ms)[-1] == name
