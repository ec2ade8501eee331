from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.node import Node
from clementineyoke_core.steering import Steering

TEAM = "/league/finals"


def choose(context, rate=1.0, chat_home=None, rotation=0):
    steering = Steering()
    return steering.choose_nodes(
        team=TEAM,
        team_rate_per_s=rate,
        alive=context.nodes,
        chat_home=chat_home,
        rotation=rotation,
    ).nodes


@given("{count:d} nodes alive in {zones:d} zones")
def given_nodes(context, count, zones):
    context.nodes = [
        Node(f"node-{n}", "127.0.0.1", 1, n, f"zone-{n % zones}", "region")
        for n in range(count)
    ]


@when("the first node of a team leaves")
def leave(context):
    context.before = choose(context)
    context.nodes.remove(context.before[0])


@then("a small team gets {count:d} nodes in {zones:d} zones")
def check_small(context, count, zones):
    nodes = choose(context)
    assert len(nodes) == count
    assert len({node.availability_zone for node in nodes}) == zones


@then("a repeated query gives the same nodes")
def check_same(context):
    assert choose(context) == choose(context)


@then("in three rotations each of the {count:d} nodes is first once")
def check_rotation(context, count):
    firsts = [
        choose(context, rotation=rotation)[0].node_id for rotation in range(count)
    ]
    assert sorted(firsts) == sorted(node.node_id for node in choose(context))


@then("a chat whose home is {node_id} gets {first} first")
def check_home(context, node_id, first):
    nodes = choose(context, chat_home=node_id)
    assert nodes[0].node_id == first
    assert len({node.node_id for node in nodes}) == len(nodes)


@then("a team of {rate:d} requests a second gets {count:d} nodes")
def check_large(context, rate, count):
    assert len(choose(context, rate=rate)) == count


@then("the team's other nodes stay")
def check_stay(context):
    after = choose(context)
    assert set(context.before[1:]) <= set(after)
