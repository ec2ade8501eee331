from __future__ import annotations

import msgspec
from behave import given, then, when
from edge_fleet import POOL, EdgeFleet
from edge_steps import wait_until
from runner_signals_steps import make_call, runner, start_connected

from clementineyoke_core.capacity.runner_speeds import current_key, lasting_key
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerMessage
from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_wire.messages import RunnerSpeed, SlotRelease

PEER = PeerAddress("127.0.0.99", 1)


class FleetWithoutWeighting(EdgeFleet):
    def config(self, number):
        return msgspec.structs.replace(super().config(number), speed_weighting=False)


@given("a fleet of {nodes:d} nodes and 1 runner that know each other")
def given_one_runner(context, nodes):
    start_connected(context, EdgeFleet(nodes=nodes, runners=1))


@given("a fleet of {nodes:d} nodes and {runners:d} runners with speed_weighting off")
def given_switched_off(context, nodes, runners):
    start_connected(context, FleetWithoutWeighting(nodes=nodes, runners=runners))


@when('all runners report the load "{load}" and respond as "{act}"')
def report_load(context, load, act):
    for standin in context.fleet.runners:
        standin.server_load = load
        standin.fallback_response = ScriptedResponse(act)


@when('runner {number:d} reports the load "{load}"')
def report_other_load(context, number, load):
    runner(context, number).server_load = load


def homes_of_first(context):
    """Return the home of runner 1 and the number of another node."""
    nodes = context.fleet.nodes
    runner_id = runner(context, 1).runner_id
    home_id = nodes[0].state.region_homes.home_of(runner_id)
    (home,) = (n for n in nodes if n.state.config.node_id == home_id)
    other = next(number for number, n in enumerate(nodes, start=1) if n is not home)
    return home, other


@when('{count:d} "{kind}" calls reach a node that is not the home of runner 1')
def call_elsewhere(context, count, kind):
    home, other = homes_of_first(context)
    if not hasattr(context, "percents"):
        context.percents = record_response_times(home)

    async def act():
        return [
            await make_call(context, f"{kind}-{n}", other, kind) for n in range(count)
        ]

    context.answers = context.run(act())


def record_response_times(home):
    """Return a list that gets each response time, in percent, that a home receives."""
    percents = []
    slot_home = home.io.slot_home
    original = slot_home._on_response_time

    def record(runner_id, time_percent):
        percents.append(time_percent)
        original(runner_id, time_percent)

    slot_home._on_response_time = record
    return percents


@when('{count:d} "{kind}" calls reach each node')
def call_each_node(context, count, kind):
    nodes = context.fleet.nodes
    context.percents = [record_response_times(node) for node in nodes]

    async def act():
        return [
            await make_call(context, f"call-{node}-{n}", node, kind)
            for node in range(1, len(nodes) + 1)
            for n in range(count)
        ]

    context.answers = context.run(act())


def known_runners(node):
    return node.io.speed_exchange._speeds.runner_ids()


@then("the home of runner 1 learns its slowdown")
def check_home_learns(context):
    home, other = homes_of_first(context)
    runner_id = runner(context, 1).runner_id
    context.run(wait_until(lambda: runner_id in known_runners(home), 2))
    assert context.fleet.nodes[other - 1].io.socket.sent_bytes["runnerSpeed"]
    speeds = home.io.speed_exchange._speeds
    assert speeds._states[runner_id].reported == 2.5


@then("all nodes describe the calls of the pool")
def check_described(context):
    for node in context.fleet.nodes:
        context.run(wait_until(lambda node=node: node.io._describes_calls(POOL), 2))


@then("no node sends reports of speed or response times, or describes calls")
def check_nothing_sent(context):
    assert context.percents == [[], []], context.percents
    for node in context.fleet.nodes:
        assert not node.io.socket.sent_bytes["runnerSpeed"]
        assert not known_runners(node)
        assert not node.io._describes_calls(POOL)
        assert node.io.speed_exchange.gossip_keys() == set()
        assert (
            not {current_key(POOL), lasting_key(POOL)}
            & node.state.mean_load.shares().keys()
        )


@then("node {number:d} has counted {count:d} malformed load headers")
def check_malformed(context, number, count):
    metrics = context.fleet.nodes[number - 1].state.metrics
    values = metrics.malformed_load_headers.get_all()
    assert sum(value for _, value in values) == count, values


@when("up to {max_calls:d} calls arrive at node 1 until one passes over runner 1")
def call_until_passed_over(context, max_calls):
    decisions = context.fleet.nodes[0].state.decisions

    async def act():
        for n in range(max_calls):
            await make_call(context, f"call-{n}", 1)
            for line in decisions.find(f"call-{n}"):
                if line["event"] == "routed" and line["fields"]["passed_over"]:
                    return line["fields"]["passed_over"]
        return None

    context.passed_over = context.run(act())


@then("the decision on it names runner 1 as speed")
def check_decision(context):
    runner_id = runner(context, 1).runner_id
    assert context.passed_over == {runner_id: "speed"}, context.passed_over


@then("the metrics of node 1 show the slowdown of runner 1")
def check_metrics(context):
    node = context.fleet.nodes[0]
    node.io.speed_exchange.update_metrics(node.state.metrics)
    labels = {"runner": runner(context, 1).runner_id, "pool": POOL}
    gauge = node.state.metrics.runner_slowdown
    estimate = node.io.speed_exchange._speeds.estimate(
        labels["runner"], now_ms=node.io.timers.now_ms()
    )
    # The current slowdown decays; the lasting one changes with answers only, and is
    # below 1 for a runner that answers faster than the others.
    assert gauge.get({**labels, "kind": "current"}) >= estimate.current >= 1.0
    assert gauge.get({**labels, "kind": "lasting"}) == estimate.lasting


@then("the home of runner 1 gets response times")
def check_response_times(context):
    home, _ = homes_of_first(context)
    # All slots are released, so that no response time is still on its way.
    context.run(wait_until(lambda: not any(home.io.slot_home.loads().values()), 2))
    assert context.percents
    context.percents_before = len(context.percents)


@then("the home of runner 1 gets {count:d} more response time")
def check_more_times(context, count):
    expected = context.percents_before + count
    context.run(wait_until(lambda: len(context.percents) >= expected, 2))
    assert len(context.percents) == expected, context.percents


@when("a report of runner 1 arrives at a node that is not its home")
def report_to_former_home(context):
    _, other = homes_of_first(context)
    context.other = context.fleet.nodes[other - 1]
    entry = context.other.state.table.get(runner(context, 1).runner_id)
    message = RunnerSpeed(entry.runner.lifetime_hash, 1, 0, 8, 250, 0)
    context.other.io.socket._dispatch(PeerMessage(PEER, 1, message))


@when("a response time of runner 1 arrives at a node that is not its home")
def release_at_former_home(context):
    _, other = homes_of_first(context)
    context.other = context.fleet.nodes[other - 1]
    # Times are dropped for a pool without reports, which would hide the fault.
    assert context.other.io.speed_exchange.has_reports(POOL)
    entry = context.other.state.table.get(runner(context, 1).runner_id)
    message = SlotRelease(1, entry.runner.lifetime_hash, True, 250)
    context.other.io.socket._dispatch(PeerMessage(PEER, 1, message))


@when("the home of runner 1 learns that it has restarted")
def restart_first(context):
    context.other, _ = homes_of_first(context)
    table = context.other.state.table
    context.previous = table.get(runner(context, 1).runner_id).runner
    restarted = context.previous._replace(born_ms=context.previous.born_ms + 1)
    table.apply_host_list(live=[restarted], leaving=[], now_ms=0)
    context.run(apply_hosts(context.other))


async def apply_hosts(node):
    node.io.apply_hosts()


@when("a report of the previous lifetime of runner 1 arrives at its home")
def report_previous_lifetime(context):
    message = RunnerSpeed(context.previous.lifetime_hash, 1, 0, 8, 250, 0)
    context.other.io.socket._dispatch(PeerMessage(PEER, 1, message))


@when("the home of runner 1 moves to the other node")
def move_home_away(context):
    context.other, number = homes_of_first(context)
    runner_id = runner(context, 1).runner_id
    homes = context.other.state.region_homes
    homes.reassign(
        nodes=[context.fleet.nodes[number - 1].state.config.node_id],
        pools={POOL: [runner_id]},
    )
    context.other.io.speed_exchange.rebuild()


@then("that node keeps no speed of runner 1")
def check_no_state(context):
    assert known_runners(context.other) == []
