from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.overload.grant_meter import GrantMeter
from clementineyoke_core.overload.return_rates import (
    FleetShare,
    RateSource,
    ReturnRates,
    RunnerCount,
)
from clementineyoke_core.overload.return_schedule import ReturnRequest, ReturnSchedule
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder

RUNNER = Runner("engine-1", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "m", 1)
GRANT_SPAN_MS = 10_000


class RateNode:
    """A node's meter and rates; ``share`` is its share of the fleet's calls."""

    def __init__(self, node_count, *, runners=1, homed=1):
        table = RunnerTable()
        table.apply_host_list(live=[RUNNER], leaving=[], now_ms=0)
        self.meter = GrantMeter(table=table)
        self.mean_load = MeanLoadEstimator()
        self.share = 0.0
        self.rates = ReturnRates(
            meter=self.meter,
            mean_load=self.mean_load,
            fleet_share=lambda: FleetShare(node_count, self.share),
        )
        self.keys = self.rates.set_runners({"m": RunnerCount(runners, homed)})

    def grant(self, per_s):
        for n in range(per_s * GRANT_SPAN_MS // 1_000):
            now_ms = n * 1_000 / per_s
            request = GrantRequest("engine-1", SlotHolder("node", n), now_ms)
            assert self.meter.check(request) is None
            self.meter.record_grant(request)


@given("a home that grants {per_s:d} slots per second on a runner of {pool} for 10 s")
def given_home(context, per_s, pool):
    context.node = RateNode(1)
    context.node.grant(per_s)


@then('it grants about {per_s:d} slots per second in "m" and none in "other"')
def check_metered(context, per_s):
    meter = context.node.meter
    found = meter.per_s("m", now_ms=GRANT_SPAN_MS)
    assert abs(found - per_s) <= 0.1 * per_s, found
    assert meter.per_s("other", now_ms=GRANT_SPAN_MS) == 0.0


@then('none in "m" after the pool was removed')
def check_removed(context):
    context.node.rates.set_runners({})
    assert context.node.meter.per_s("m", now_ms=GRANT_SPAN_MS) == 0.0


@given("{count:d} nodes of which {homes:d} grant {per_s:d} slots per second each")
def given_nodes(context, count, homes, per_s):
    context.now_ms = GRANT_SPAN_MS
    context.nodes = [
        RateNode(count, runners=homes, homed=int(n < homes)) for n in range(count)
    ]
    for node in context.nodes[:homes]:
        node.grant(per_s)
    publish_all(context)


def publish_all(context):
    for node in context.nodes:
        node.rates.publish(now_ms=context.now_ms)


@when("they have exchanged gossip for {rounds:d} rounds")
def exchange(context, rounds):
    rng = Random(2)
    for _ in range(rounds):
        for node in context.nodes:
            peer = rng.choice(context.nodes)
            if peer is node:
                continue
            pushed = node.mean_load.begin_round()
            replied = peer.mean_load.merge(pushed)
            node.mean_load.finish_round(pushed=pushed, replied=replied)
            for receiver in (node, peer):
                receiver.rates.record_exchange("m", now_ms=context.now_ms)


@then(
    "each node's rate is within {percent:d} percent of {per_s:d} per second if it gets "
    "{share:d} percent of the calls"
)
def check_rates(context, percent, per_s, share):
    for node in context.nodes:
        node.share = share / 100
    publish_all(context)
    rates = [node.rates.rate("m", now_ms=context.now_ms) for node in context.nodes]
    assert {rate.source for rate in rates} == {RateSource.FLEET}
    errors = [abs(rate.per_s - per_s) / per_s for rate in rates]
    assert max(errors) <= percent / 100, max(errors)


@when("the share of a node in the fleet's calls has decayed to {share:g}")
def decay_share(context, share):
    context.nodes[-1].share = share
    publish_all(context)


@then("the node's rate is that of the fleet and at least {low:g} per second")
def check_low_rate(context, low):
    context.rate = context.nodes[-1].rates.rate("m", now_ms=context.now_ms)
    assert context.rate.source is RateSource.FLEET, context.rate
    assert context.rate.per_s >= low, context.rate


@then("the node can plan a return with it")
def check_plan(context):
    schedule = ReturnSchedule(rng=Random(1))
    request = ReturnRequest("m", 1, "call", 6_000, context.rate.per_s, context.now_ms)
    assert 50 <= schedule.plan(request).retry_after_ms <= 2_000


@when("no gossip has arrived for {pause_s:g} s")
def lose_gossip(context, pause_s):
    context.now_ms += pause_s * 1_000


@then("the rate of a node with homes is that of its own grants")
def check_own(context):
    node = context.nodes[0]
    rate = node.rates.rate("m", now_ms=context.now_ms)
    assert rate.source is RateSource.OWN_HOMES, rate
    assert rate.per_s == node.meter.per_s("m", now_ms=context.now_ms)


@then("the rate of a node without homes is unknown")
def check_unknown(context):
    rate = context.nodes[-1].rates.rate("m", now_ms=context.now_ms)
    assert rate.source is RateSource.UNKNOWN, rate


@when("no grant has been given for {pause_s:d} s")
def pause_grants(context, pause_s):
    context.now_ms += pause_s * 1_000
    publish_all(context)
    exchange(context, 60)


@when("the fleet has {count:d} pools")
def set_many_pools(context, count):
    rng = Random(3)
    for node in context.nodes:
        pools = [f"pool-{n}" for n in range(count)]
        rng.shuffle(pools)
        node.keys = node.rates.set_runners(dict.fromkeys(pools, RunnerCount(1, 0)))


@then("the rates of {count:d} pools are gossiped, the same on every node")
def check_keys(context, count):
    assert len(context.nodes[0].keys) == count
    assert all(node.keys == context.nodes[0].keys for node in context.nodes)


@when("the pool is replaced by {count:d} others")
def replace_pool(context, count):
    for node in context.nodes:
        pools = [f"pool-{n}" for n in range(count)]
        node.rates.set_runners(dict.fromkeys(pools, RunnerCount(1, 0)))
    publish_all(context)


@when("the pool is replaced by {count:d} others between a push and its reply")
def replace_pool_before_reply(context, count):
    shares = [node.mean_load.begin_round() for node in context.nodes]
    replace_pool(context, count)
    for node, pushed in zip(context.nodes, shares, strict=True):
        node.mean_load.finish_round(pushed=pushed, replied=pushed)


@then("the messages have {count:d} keys")
def check_message_keys(context, count):
    sizes = {len(node.mean_load.shares()) for node in context.nodes}
    assert sizes == {count}, sizes
