"""Engines and requests of the tests of grant rules on tokens."""

from __future__ import annotations

from clementineyoke_core.capacity.engines import Engine
from clementineyoke_core.grants.call_profile import CallProfile, PromptCost
from clementineyoke_core.grants.grant_rule import GrantRequest
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.slot_ledger import SlotHolder

POOL = "m"
RUNNER = "engine-1"
ASKING = 1_000
"""Number of the request whose result is checked."""
RESULTS = {
    "granted": None,
    "refused for memory": RefusalReason.MEMORY,
    "refused for prefill": RefusalReason.PREFILL,
}


class FakeEngines:
    """Implements ``Engines`` with engines of one pool and one size."""

    def __init__(self, *, memory_tokens):
        self.memory_tokens = memory_tokens
        self.lifetime = "lifetime-1"
        self.is_first_in_order = False

    def find(self, runner_id):
        return Engine(POOL, self.lifetime, self.memory_tokens)

    def is_first(self, runner_id, key):
        return self.is_first_in_order


def make_holder(number):
    return SlotHolder("node-1", number)


def make_request(
    number, prompt, *, now_ms=0.0, objective_ms=400, priority=1, how="", runner=RUNNER
):
    return GrantRequest(
        runner,
        make_holder(number),
        now_ms,
        seen_mean=1.0 if how == "as the last resort" else 0.0,
        is_queued=how == "from the home's queue",
        profile=CallProfile(1, priority, objective_ms, prompt),
    )


def own_tokens(tokens):
    return PromptCost(own_tokens=tokens)


def shared_tokens(key, tokens, own=0):
    return PromptCost(key=key, shared_tokens=tokens, own_tokens=own)


def ask(context, request):
    context.reason = context.rule.check(request)
    if context.reason is None:
        context.rule.record_grant(request)
