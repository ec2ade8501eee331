from __future__ import annotations

from collections import defaultdict
from random import Random
from typing import NamedTuple

from behave import given, then
from capacity_engines import POOL, FakeEngines, make_request

from clementineyoke_core.capacity.prefill_backlog import PrefillBacklog
from clementineyoke_core.capacity.token_reservations import TokenReservations
from clementineyoke_core.grants.call_profile import PromptCost

MEMORY_TOKENS = 406_728
SLOTS = 64
CAP_FACTOR = 1.9
TOKENS_PER_MS = 56.9
BURST_MS = 4_000
LONG_EVERY_MS = 25
URGENT_EVERY_MS = 20
HELD_MS = 2_500
URGENT_HELD_MS = 200
URGENT_OBJECTIVE_MS = 419
LONG_OBJECTIVE_MS = 1_045
URGENT = PromptCost(key=1, shared_tokens=699, own_tokens=130, output_tokens=80)


class Held(NamedTuple):
    until_ms: float
    request: object


class Burst:
    """Engines that process prompts one by one, and the grants that they get.

    A call asks the engines in the order of its prompt, then the one with the fewest
    calls as the last resort; a call that all refuse is dropped.
    """

    def __init__(self, *, engines, documents, with_rules):
        self.names = [f"engine-{n}" for n in range(engines)]
        facts = FakeEngines(memory_tokens=MEMORY_TOKENS)
        self.reservations = TokenReservations(engines=facts)
        self.backlog = PrefillBacklog(
            engines=facts, tokens_per_ms={POOL: TOKENS_PER_MS}.get
        )
        self.rules = (self.reservations, self.backlog)
        self.with_rules = with_rules
        self.held = defaultdict(list)
        self.idle_from_ms = dict.fromkeys(self.names, 0.0)
        self.cached = {name: set() for name in self.names}
        self.urgent_waits_ms = []
        self.peak_tokens = 0
        self.run(documents)

    def run(self, documents):
        rng = Random(1)
        for now_ms in range(BURST_MS):
            if now_ms % LONG_EVERY_MS == 0:
                document = PromptCost(rng.randrange(documents) + 2, 10_512, 1_300, 96)
                self.ask(document, now_ms, priority=1)
            if now_ms % URGENT_EVERY_MS == 0:
                self.ask(URGENT, now_ms, priority=0)

    def ask(self, prompt, now_ms, *, priority):
        self.end_calls(now_ms)
        objective_ms = LONG_OBJECTIVE_MS if priority else URGENT_OBJECTIVE_MS
        request = make_request(
            now_ms * 2 + priority,
            prompt,
            now_ms=now_ms,
            objective_ms=objective_ms,
            priority=priority,
        )
        order = list(self.names)
        Random(prompt.key).shuffle(order)
        mean_load = sum(map(len, self.held.values())) / len(order)
        bound = min(SLOTS, CAP_FACTOR * mean_load + 3)
        least = min(order, key=lambda name: len(self.held[name]))
        for name, seen_mean in [*((name, 0.0) for name in order), (least, 1.0)]:
            sent = request._replace(runner_id=name, seen_mean=seen_mean)
            if len(self.held[name]) < bound and self.may_grant(sent):
                self.start(sent)
                return

    def may_grant(self, request):
        if not self.with_rules:
            return True
        return all(rule.check(request) is None for rule in self.rules)

    def start(self, request):
        name, now_ms, prompt = request.runner_id, request.now_ms, request.profile.prompt
        for rule in self.rules:
            rule.record_grant(request)
        is_cached = prompt.key in self.cached[name]
        self.cached[name].add(prompt.key)
        work_ms = (
            prompt.own_tokens if is_cached else prompt.prompt_tokens
        ) / TOKENS_PER_MS
        if request.profile.priority == 0:
            self.urgent_waits_ms.append(max(0.0, self.idle_from_ms[name] - now_ms))
        self.idle_from_ms[name] = max(self.idle_from_ms[name], now_ms) + work_ms
        held_ms = HELD_MS if request.profile.priority else URGENT_HELD_MS
        self.held[name].append(Held(self.idle_from_ms[name] + held_ms, request))
        shared = {h.request.profile.prompt.key: h for h in self.held[name]}.values()
        tokens = sum(
            h.request.profile.prompt.own_tokens + h.request.profile.prompt.output_tokens
            for h in self.held[name]
        ) + sum(h.request.profile.prompt.shared_tokens for h in shared)
        self.peak_tokens = max(self.peak_tokens, tokens)

    def end_calls(self, now_ms):
        for name in self.names:
            for held in [h for h in self.held[name] if h.until_ms <= now_ms]:
                self.held[name].remove(held)
                for rule in self.rules:
                    rule.record_release(name, held.request.holder)

    def timely_share(self):
        limit_ms = URGENT_OBJECTIVE_MS / 2
        timely = sum(wait_ms < limit_ms for wait_ms in self.urgent_waits_ms)
        return timely / (BURST_MS // URGENT_EVERY_MS)


@given(
    "a burst of long prompts on {engines:d} engines with {documents:d} documents, with "
    "token rules"
)
def given_burst(context, engines, documents):
    size = {"engines": engines, "documents": documents}
    context.burst = Burst(**size, with_rules=True)
    context.plain = Burst(**size, with_rules=False)


@then("no engine ever holds more than 0.9 of its memory")
def check_memory(context):
    assert context.burst.peak_tokens <= 0.9 * MEMORY_TOKENS, context.burst.peak_tokens


@then("some engine holds more than 0.8 of its memory")
def check_memory_used(context):
    assert context.burst.peak_tokens > 0.8 * MEMORY_TOKENS, context.burst.peak_tokens


@then("without token rules some engine holds more than all of its memory")
def check_plain_memory(context):
    assert context.plain.peak_tokens > MEMORY_TOKENS, context.plain.peak_tokens


@then("nine tenths of the urgent calls wait for less than half of their objective")
def check_waits(context):
    assert context.burst.timely_share() >= 0.9, context.burst.timely_share()


@then("without token rules less than seven tenths of them do")
def check_plain_waits(context):
    assert context.plain.timely_share() < 0.7, context.plain.timely_share()


@then("a document is processed on {count:d} engines or fewer on average")
def check_spread(context, count):
    documents = [key for keys in context.burst.cached.values() for key in keys - {1}]
    spread = len(documents) / len(set(documents))
    assert spread <= count, spread
