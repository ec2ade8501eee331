from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.edge.prompt_holders import MOST_PROMPTS, PromptHolders
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
    """Play calls and changes of runners; count prompts that are read again."""

    def __init__(self, *, calls_per_s, length_s, remembers):
        self.calls_per_s, self.length_s = calls_per_s, length_s
        self.remembers = remembers
        self.rng = Random(7)
        self.names = [f"runner-{number}" for number in range(RUNNERS)]
        self.ring = HashRing()
        self.ring.set_members(self.names)
        self.held = {}
        """Which runners hold a prompt."""
        self.memories = [PromptHolders() for _ in range(NODES)]
        self.reads_again = 0
        self.emptied = set()
        """Runners that get nothing."""

    def replace_runner(self, number):
        self.end_runner()
        self.join_runner(number)

    def restart_emptied(self):
        for holders in self.held.values():
            holders -= self.emptied
        self.emptied = set()

    def end_runner(self):
        gone = self.names.pop(self.rng.randrange(len(self.names)))
        for holders in self.held.values():
            holders.discard(gone)
        self.ring.set_members(self.names)

    def join_runner(self, number):
        self.names.append(f"joined-{number}")
        self.ring.set_members(self.names)

    def call(self, now_ms):
        key = hash_text(f"prompt-{self.rng.randrange(PROMPTS)}")
        order = list(self.ring.order(key))
        open_names = [name for name in order if name not in self.emptied]
        chosen = open_names[1] if self.rng.random() < BUSY_SHARE else open_names[0]
        memory = self.memories[self.rng.randrange(NODES)]
        source = self._source(memory, key, order, chosen, now_ms)
        holders = self.held.setdefault(key, set())
        if holders and not holders & {chosen, source}:
            self.reads_again += 1
        holders.add(chosen)
        memory.record_answer(key, make_runner(chosen), now_ms=now_ms)

    def _source(self, memory, key, order, chosen, now_ms):
        last = memory.last_holder(key, now_ms=now_ms) if self.remembers else None
        if last is not None and last.runner_id in set(order) - {chosen}:
            return last.runner_id
        return order[1] if chosen == order[0] else order[0]

    def play(self, changes):
        """Play all; ``changes`` are (every how many seconds, what) pairs."""
        for second in range(self.length_s):
            for every_s, change in changes:
                if second % every_s == 0:
                    change(self, second)
            for number in range(self.calls_per_s):
                self.call(1_000 * second + 1_000 * number / self.calls_per_s)
        return self.reads_again


@given("a load of {calls:d} calls a second for {length:d} s")
def given_load(context, calls, length):
    context.loads = [
        PromptLoad(calls_per_s=calls, length_s=length, remembers=remembers)
        for remembers in (False, True)
    ]


@when("every second a runner is replaced by a new one")
def replace_runners(context):
    changes = [(1, PromptLoad.replace_runner)]
    context.reads = [load.play(changes) for load in context.loads]


@when(
    "a third of the runners get nothing from {start:d} s to {end:d} s "
    "and come back empty"
)
def empty_zone(context, start, end):
    def change(load, second):
        if second == start:
            load.emptied = set(load.names[::3])
        if second == end:
            load.restart_emptied()

    context.reads = [load.play([(1, change)]) for load in context.loads]


@then("remembering who answered last reads at most half as many prompts again")
def check_reads(context):
    by_order, by_memory = context.reads
    assert by_order > 0
    assert by_memory <= by_order / 2, context.reads


@given("a node that saw a runner answer for a prompt")
def given_answer(context):
    context.memory = PromptHolders()
    context.memory.record_answer(1, make_runner("runner-1"), now_ms=0)


@then("after {known:d} s the runner is named, and after {gone:d} s nobody")
def check_age(context, known, gone):
    assert context.memory.last_holder(1, now_ms=1_000 * known).runner_id == "runner-1"
    assert context.memory.last_holder(1, now_ms=1_000 * gone) is None


@given("a node that saw answers for {count:d} prompts")
def given_many(context, count):
    context.memory = PromptHolders()
    context.count = count
    for key in range(count):
        context.memory.record_answer(key, make_runner("runner-1"), now_ms=0)


@then("it remembers the last one, and {most:d} at most")
def check_bound(context, most):
    assert most == MOST_PROMPTS
    known = [
        key for key in range(context.count) if context.memory.last_holder(key, now_ms=0)
    ]
    assert known[-1] == context.count - 1
    assert len(known) <= most
