"""A pool with homes, nodes and gossip in one process, for tests of the admission."""

from __future__ import annotations

from collections import Counter
from random import Random

from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.desired_state import (
    CallerLimits,
    DesiredState,
    PoolLimits,
)
from clementineyoke_core.edge.route import Route, WeightedPool
from clementineyoke_core.grants.call_profile import CallProfile
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.overload.admission_level import AdmissionLevel
from clementineyoke_core.overload.pressure_meter import PressureMeter, RunnerDemand
from clementineyoke_core.overload.priority_ranks import PriorityRanks
from clementineyoke_core.overload.priority_reserve_rule import PriorityReserveRule
from clementineyoke_core.overload.served_shares import ServedShares
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_core.slot_queue import QueuedRequest, SlotQueue

POOL = "m"
MEMORY_TOKENS = 100_000
TICK_MS = 10
WORK_MS = 300
OBJECTIVE_MS = 600
QUEUE_MS = 400
GOSSIP_TICKS = 25
UPDATE_TICKS = 10
MAX_TRIES = 8
MAX_QUEUED = 8


def make_state(priorities, *, pool=POOL, revision=1):
    routes = tuple(
        Route(
            f"route-{priority}",
            "host",
            f"/{priority}/",
            CallKind.IDEMPOTENT,
            (WeightedPool(pool, 1.0),),
            2_000.0,
            OBJECTIVE_MS,
            0.0,
            priority,
            2,
            True,
            False,
            False,
        )
        for priority in priorities
    )
    limits = (PoolLimits(pool, 0.0, 0.0, MEMORY_TOKENS),)
    return DesiredState(revision, revision, routes, (), False, CallerLimits(), limits)


def make_runner(number, slots):
    return Runner(
        f"r-{number}", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, POOL, slots
    )


class AdmissionNode:
    """One node: the home of some runners, and the level for the calls it gets."""

    def __init__(self, *, table, state, is_on):
        self.mean_load = MeanLoadEstimator()
        self.ledger = SlotLedger(lease_ms=1e9)
        self.ranks = PriorityRanks(read_state=lambda: state)
        self.meter = PressureMeter(mean_load=self.mean_load)
        self.meter.set_pools(self.ranks.pools())
        self.level = AdmissionLevel(ranks=self.ranks.count(POOL))
        self.shares = ServedShares()
        self.queues = {}
        self.is_on = is_on
        self.rule = PriorityReserveRule(
            ledger=self.ledger,
            table=table,
            ranks=self.ranks,
            pressure=self.meter,
            queue_share=1.0,
        )

    def grant(self, runner, call, now_ms):
        """Grant a slot below twice the slots, if the rule does not refuse it."""
        profile = CallProfile(0, call.asked_rank, OBJECTIVE_MS)
        request = GrantRequest(runner.runner_id, call.holder, now_ms, profile=profile)
        bound = 2 * runner.slots
        if not self.ledger.has_room(runner.runner_id, call.holder, bound=bound):
            return False
        if self.is_on and self.rule.check(request) is not None:
            return False
        self.ledger.renew(runner.runner_id, call.holder, now_ms=now_ms)
        return True

    def update(self, now_ms):
        demands = [
            RunnerDemand(
                POOL, self.ledger.in_use(runner.runner_id), len(queue), runner.slots
            )
            for runner, queue in self.queues.items()
        ]
        self.meter.update(demands, now_ms=now_ms)
        self.level.update(self.meter.reading(POOL).pressure, now_ms=now_ms)


class PoolCall:
    """A call with its rank, the node it reached and the work that is left of it."""

    def __init__(self, number, rank, node, now_ms):
        self.holder = SlotHolder("peer", number)
        self.rank = rank
        self.asked_rank = 0 if node.shares.is_starving(rank) else rank
        self.node = node
        self.arrived_ms = now_ms
        self.left_ms = WORK_MS


class AdmissionFleet:
    """Play calls of three ranks against a pool, tick by tick."""

    def __init__(self, *, nodes=8, runners=12, slots=8, seed=1, is_on=True):
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.is_on = is_on
        table = RunnerTable()
        self.runners = [make_runner(n, slots) for n in range(runners)]
        table.apply_host_list(live=self.runners, leaving=[], now_ms=0)
        state = make_state((0, 1, 2))
        self.nodes = [
            AdmissionNode(table=table, state=state, is_on=is_on) for _ in range(nodes)
        ]
        self.homes = {r: self.nodes[n % nodes] for n, r in enumerate(self.runners)}
        for runner, home in self.homes.items():
            home.queues[runner] = SlotQueue(max_queued=MAX_QUEUED)
        self.running = {runner: [] for runner in self.runners}
        self.waiting = {}
        self.capacity_per_s = runners * slots * 1_000 / WORK_MS
        self.counts = Counter()
        self.levels = []
        self._ticks = self._calls = 0

    def play(self, *, times_capacity, seconds, mix=(0.15, 0.3, 0.55)):
        """Offer a multiple of the capacity; return counts by event and rank."""
        self.counts = Counter()
        self.levels = []
        per_tick = times_capacity * self.capacity_per_s * TICK_MS / 1_000
        due = 0.0
        for _ in range(int(seconds * 1_000 / TICK_MS)):
            due += per_tick
            while due >= 1.0:
                due -= 1.0
                (rank,) = self.rng.choices(range(len(mix)), mix)
                self._arrive(rank)
            self._advance()
        return self.counts

    def _arrive(self, rank):
        self._calls += 1
        node = self.rng.choice(self.nodes)
        call = PoolCall(self._calls, rank, node, self.now_ms)
        self.counts["asked", rank] += 1
        if self.is_on and not node.level.admits(rank, draw=self.rng.random()):
            self.counts["level", rank] += 1
            node.shares.record(rank, is_served=False, now_ms=self.now_ms)
            return
        tried = self.rng.sample(self.runners, min(MAX_TRIES, len(self.runners)))
        for runner in tried:
            if self.homes[runner].grant(runner, call, self.now_ms):
                self._start(runner, call)
                return
        self._enqueue(tried[0], call)

    def _enqueue(self, runner, call):
        self.waiting[call.holder] = call
        queued = QueuedRequest(call.holder, 0, call.asked_rank, self.now_ms + QUEUE_MS)
        rejected = self.homes[runner].queues[runner].add(queued)
        if rejected is not None:
            self._fail(rejected.holder)

    def _fail(self, holder):
        call = self.waiting.pop(holder)
        self.counts["no slot", call.rank] += 1
        call.node.shares.record(call.rank, is_served=False, now_ms=self.now_ms)
        if call.rank == 0:
            call.node.meter.record_urgent_call(POOL, is_failed=True)

    def _start(self, runner, call):
        self.running[runner].append(call)
        self.counts["granted", call.rank] += 1
        is_late = self.now_ms - call.arrived_ms > OBJECTIVE_MS / 2
        call.node.shares.record(call.rank, is_served=not is_late, now_ms=self.now_ms)
        if call.rank == 0:
            call.node.meter.record_urgent_call(POOL, is_failed=is_late)

    def _advance(self):
        self.now_ms += TICK_MS
        self._ticks += 1
        for holder, call in list(self.waiting.items()):
            if call.arrived_ms + QUEUE_MS <= self.now_ms:
                self._fail(holder)
        for runner, calls in self.running.items():
            # The runner works on the most urgent calls; the others wait in it.
            calls.sort(key=lambda call: (call.rank, call.arrived_ms))
            for call in calls[: runner.slots]:
                call.left_ms -= TICK_MS
            self._end_calls(runner, [call for call in calls if call.left_ms <= 0])
            self._serve_queue(runner)
        if self._ticks % GOSSIP_TICKS == 0:
            self._exchange()
        if self._ticks % UPDATE_TICKS == 0:
            for node in self.nodes:
                node.update(self.now_ms)
            self.levels.append(self.mean_level())

    def _end_calls(self, runner, ended):
        for call in ended:
            self.running[runner].remove(call)
            self.homes[runner].ledger.release(runner.runner_id, call.holder)
            is_useful = self.now_ms - call.arrived_ms <= OBJECTIVE_MS
            self.counts["useful" if is_useful else "late", call.rank] += 1

    def _serve_queue(self, runner):
        home = self.homes[runner]
        queue = home.queues[runner]
        while (queued := queue.peek_next(now_ms=self.now_ms)) is not None:
            call = self.waiting[queued.holder]
            if not home.grant(runner, call, self.now_ms):
                break
            queue.pop_next(now_ms=self.now_ms)
            del self.waiting[queued.holder]
            self._start(runner, call)

    def _exchange(self):
        for node in self.nodes:
            peer = self.rng.choice(self.nodes)
            if peer is node:
                continue
            pushed = node.mean_load.begin_round()
            replied = peer.mean_load.merge(pushed)
            node.mean_load.finish_round(pushed=pushed, replied=replied)
            for side in (node, peer):
                side.meter.record_exchange(now_ms=self.now_ms)

    def mean_level(self):
        return sum(node.level.in_force for node in self.nodes) / len(self.nodes)
