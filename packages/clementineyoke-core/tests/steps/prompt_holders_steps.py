from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.prompt_holders import MAX_PROMPTS, PromptHolders
from clementineyoke_core.hash_ring import HashRing
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.runner import Runner, RunnerKind

PROMPTS = 92
RUNNERS = 60
NODES = 6
BUSY_SHARE = 0.05


def make_runner(name):
    return Runner(name, "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "m", 64)


class PromptLoad:
    """Simulate calls and changes of runners; count prompts that are computed again."""

    def __init__(self, *, calls_per_s, length_s, remembers_holders):
        self.calls_per_s, self.length_s = calls_per_s, length_s
        self.remembers_holders = remembers_holders
        self.rng = Random(7)
        self.names = [f"runner-{number}" for number in range(RUNNERS)]
        self.ring = HashRing()
        self.ring.set_members(self.names)
        self.cached_by = {}
        """Names of the runners that have a prompt cached, by its key."""
        self.holders_by_node = [PromptHolders() for _ in range(NODES)]
        self.recomputed = 0
        self.evacuated = set()
        """Runners of the evacuated zone, which get no calls."""

    def replace_runner(self, number):
        self.end_runner()
        self.join_runner(number)

    def restart_evacuated(self):
        for holders in self.cached_by.values():
            holders -= self.evacuated
        self.evacuated = set()

    def end_runner(self):
        removed = self.names.pop(self.rng.randrange(len(self.names)))
        for holders in self.cached_by.values():
            holders.discard(removed)
        self.ring.set_members(self.names)

    def join_runner(self, number):
        self.names.append(f"joined-{number}")
        self.ring.set_members(self.names)

    def call(self, now_ms):
        key = hash_text(f"prompt-{self.rng.randrange(PROMPTS)}")
        order = list(self.ring.order(key))
        available = [name for name in order if name not in self.evacuated]
        chosen = available[1] if self.rng.random() < BUSY_SHARE else available[0]
        known_holders = self.holders_by_node[self.rng.randrange(NODES)]
        source = self._source(known_holders, key, order, chosen, now_ms)
        holders = self.cached_by.setdefault(key, set())
        if holders and not holders & {chosen, source}:
            self.recomputed += 1
        holders.add(chosen)
        known_holders.record_answer(key, make_runner(chosen), now_ms=now_ms)

    def _source(self, known_holders, key, order, chosen, now_ms):
        last = (
            known_holders.last_holder(key, now_ms=now_ms)
            if self.remembers_holders
            else None
        )
        if last is not None and last.runner_id in set(order) - {chosen}:
            return last.runner_id
        return order[1] if chosen == order[0] else order[0]

    def run(self, changes):
        """Run the simulation; ``changes`` are (interval in s, change) pairs."""
        for second in range(self.length_s):
            for every_s, change in changes:
                if second % every_s == 0:
                    change(self, second)
            for number in range(self.calls_per_s):
                self.call(1_000 * second + 1_000 * number / self.calls_per_s)
        return self.recomputed


@given("a load of {calls:d} calls a second for {length:d} s")
def given_load(context, calls, length):
    context.loads = [
        PromptLoad(
            calls_per_s=calls, length_s=length, remembers_holders=remembers_holders
        )
        for remembers_holders in (False, True)
    ]


@when("a runner is replaced by a new one every second")
def replace_runners(context):
    changes = [(1, PromptLoad.replace_runner)]
    context.recomputed = [load.run(changes) for load in context.loads]


@when(
    "a third of the runners get no calls from {start:d} s to {end:d} s "
    "and come back empty"
)
def evacuate_zone(context, start, end):
    def change(load, second):
        if second == start:
            load.evacuated = set(load.names[::3])
        if second == end:
            load.restart_evacuated()

    context.recomputed = [load.run([(1, change)]) for load in context.loads]


@then("with remembered holders at most half as many prompts are computed again")
def check_recomputed(context):
    by_order, by_last_runner = context.recomputed
    assert by_order > 0
    assert by_last_runner <= by_order / 2, context.recomputed


@given("a node that has seen a runner answer for a prompt")
def given_answer(context):
    context.prompt_holders = PromptHolders()
    context.prompt_holders.record_answer(1, make_runner("runner-1"), now_ms=0)


@then("after {known:d} s the runner is returned, and after {expired:d} s none")
def check_expiry(context, known, expired):
    assert (
        context.prompt_holders.last_holder(1, now_ms=1_000 * known).runner_id
        == "runner-1"
    )
    assert context.prompt_holders.last_holder(1, now_ms=1_000 * expired) is None


@given("a node that has seen answers for {count:d} prompts")
def given_many(context, count):
    context.prompt_holders = PromptHolders()
    context.count = count
    for key in range(count):
        context.prompt_holders.record_answer(key, make_runner("runner-1"), now_ms=0)


@then("it remembers the last one, and {max_known:d} at most")
def check_limit(context, max_known):
    assert max_known == MAX_PROMPTS
    known = [
        key
        for key in range(context.count)
        if context.prompt_holders.last_holder(key, now_ms=0)
    ]
    assert known[-1] == context.count - 1
    assert len(known) <= max_known
