from __future__ import annotations

from behave import given, then, when
from slot_home_steps import RUNNER, ManualTimers, RecordingSocket

from clementineyoke_core.cold_runners import ColdRunnerLimit, ColdRunners
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_node.slots.slot_home import SlotHome

RUN_MS = 4_000
STEP_MS = 10
SECOND_MS = 1_000
COLD_CALLS_PER_S = 4
COLD_MS = 10_000
POOL = "m"
# Consistent hashing assigns this runner to node-2 as long as both nodes are alive.
HOMED_RUNNER = RUNNER._replace(slots=64)


class NodeView:
    """The home of a node, with the node's own view of which nodes are alive."""

    def __init__(self, *, node_id, timers, cold_ms):
        cold_runners = ColdRunners()
        cold_runners.set_limits({POOL: ColdRunnerLimit(COLD_CALLS_PER_S, COLD_MS)})
        cold_runners.record_report(HOMED_RUNNER, remaining_ms=cold_ms, now_ms=0)
        table = RunnerTable()
        table.apply_host_list(live=[HOMED_RUNNER], leaving=[], now_ms=0)
        self.node_id = node_id
        self.homes = RunnerHomes()
        self.slot_home = SlotHome(
            own_id=node_id,
            ledger=SlotLedger(),
            table=table,
            homes=self.homes,
            mean_load=MeanLoadEstimator(),
            socket=RecordingSocket(),
            timers=timers,
            cold_runners=cold_runners,
        )
        self.set_alive(["node-1", "node-2"])

    def set_alive(self, nodes):
        self.homes.reassign(nodes=nodes, pools={POOL: [HOMED_RUNNER.runner_id]})
        self.slot_home.rebuild()

    def request_slot(self, ask_id):
        """Return whether this node is the home and grants; the call ends at once."""
        runner_id = HOMED_RUNNER.runner_id
        if self.homes.home_of(runner_id) != self.node_id:
            return False
        holder = SlotHolder(self.node_id, ask_id)
        is_granted = bool(
            self.slot_home.acquire(runner_id, holder, seen_mean=0.0).value_or(None)
        )
        self.slot_home.release(runner_id, holder)
        return is_granted


@given("a {warmth} runner and the views of node-1 and node-2")
def given_views(context, warmth):
    context.timers = ManualTimers()
    cold_ms = COLD_MS if warmth == "cold" else 0
    context.views = {
        node_id: NodeView(node_id=node_id, timers=context.timers, cold_ms=cold_ms)
        for node_id in ("node-1", "node-2")
    }
    context.changes = {}
    context.died_ms = RUN_MS


@when("node-1 takes node-2 for dead from {from_ms:d} ms to {until_ms:d} ms")
def schedule_false_alarm(context, from_ms, until_ms):
    context.changes = {from_ms: ["node-1"], until_ms: ["node-1", "node-2"]}


@when("node-2 is dead from {died_ms:d} ms")
def schedule_death(context, died_ms):
    context.died_ms = died_ms


def run(context):
    """Return the times of the grants of each node, which is asked at every step."""
    granted = {node_id: [] for node_id in context.views}
    for now_ms in range(0, RUN_MS, STEP_MS):
        context.timers.at_ms = now_ms
        if now_ms in context.changes:
            context.views["node-1"].set_alive(context.changes[now_ms])
        for node_id, view in context.views.items():
            is_dead = node_id == "node-2" and now_ms >= context.died_ms
            if not is_dead and view.request_slot(now_ms):
                granted[node_id].append(now_ms)
    return granted


@then("no second of {until_ms:d} ms has more than {max_grants:d} grants")
def check_seconds(context, until_ms, max_grants):
    context.granted = run(context)
    times = sorted(at for grants in context.granted.values() for at in grants)
    counts = [sum(start <= at < start + SECOND_MS for at in times) for start in times]
    assert until_ms == RUN_MS
    assert 0 < max(counts) <= max_grants, times


@then("node-2 has granted {count:d} of them")
def check_home_grants(context, count):
    assert len(context.granted["node-2"]) == count, context.granted


@then("{node_id} grants from {from_ms:d} ms on")
def check_first_grant(context, node_id, from_ms):
    granted = run(context)[node_id]
    assert granted[:1] == [from_ms], granted[:1]
