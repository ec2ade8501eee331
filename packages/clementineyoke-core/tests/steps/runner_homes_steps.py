from __future__ import annotations

from collections import Counter

from behave import given, then, when

from clementineyoke_core.runner_homes import RunnerHomes


@given("{count:d} nodes and pools of {first:d} and {second:d} runners")
def given_homes(context, count, first, second):
    context.nodes = [f"node-{n}" for n in range(count)]
    context.pools = {
        "engines": [f"engine-{n}" for n in range(first)],
        "services": [f"service-{n}" for n in range(second)],
    }
    context.homes = RunnerHomes()
    context.homes.reassign(nodes=context.nodes, pools=context.pools)


def homes_by_runner(context):
    runner_ids = [r for pool in context.pools.values() for r in pool]
    return {runner_id: context.homes.home_of(runner_id) for runner_id in runner_ids}


@when("one node leaves the region")
def leave(context):
    context.before = homes_by_runner(context)
    nodes = context.nodes[1:]
    assert context.homes.reassign(nodes=nodes, pools=context.pools)


@then("no node is home of {count:d} runners of a pool")
def check_spread(context, count):
    for runner_ids in context.pools.values():
        counted = Counter(context.homes.home_of(r) for r in runner_ids)
        assert max(counted.values()) < count, counted


@then("every runner has a home, the same for any order of the lists")
def check_same(context):
    before = homes_by_runner(context)
    assert None not in before.values()
    pools = {name: list(reversed(ids)) for name, ids in context.pools.items()}
    context.homes = RunnerHomes()
    context.homes.reassign(nodes=list(reversed(context.nodes)), pools=pools)
    assert homes_by_runner(context) == before


@then("at most {percent:d} percent of the homes have moved")
def check_moved(context, percent):
    after = homes_by_runner(context)
    moved = sum(after[r] != home for r, home in context.before.items())
    assert 0 < moved <= len(after) * percent / 100, moved
