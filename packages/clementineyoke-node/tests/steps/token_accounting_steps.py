from __future__ import annotations

import asyncio
from random import Random

from behave import given, then, when
from hypothesis import given as given_any, settings, strategies as st
from loguru import logger
from slot_home_steps import PEER, RUNNER, ManualTimers, RecordingSocket

from clementineyoke_core.edge.admission import AdmittedCall
from clementineyoke_core.edge.call_kind import CallKind
from clementineyoke_core.edge.desired_state import (
    CallerLimits,
    DesiredState,
    PoolLimits,
)
from clementineyoke_core.edge.edge_call import EdgeCall
from clementineyoke_core.edge.prompt_key import PromptPart
from clementineyoke_core.edge.route import Route
from clementineyoke_core.grants.call_profile import CallProfile, PromptCost
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.load_bound import LoadBound
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.membership import Membership
from clementineyoke_core.node import Node
from clementineyoke_core.pool_rings import PoolRings
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotLedger
from clementineyoke_node.edge.engine_view import EngineView, PoolMemory
from clementineyoke_node.edge.token_accounting import TokenAccounting
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.slots.slot_broker import SlotBroker
from clementineyoke_node.slots.slot_home import SlotHome
from clementineyoke_node.slots.slot_request import SlotRequest
from clementineyoke_wire.events import Event
from clementineyoke_wire.messages import SlotAsk, SlotRelease, SlotRenewal, SlotReply

ENGINE = RUNNER._replace(slots=64)
MEMORY_TOKENS = 1_000
PROMPT_KEY = 7
PEERS = {name: PEER._replace(port=n) for n, name in enumerate("ABC", start=1)}


class TokenHome:
    """A home of one engine with the rules on tokens."""

    def __init__(self, *, is_active=True, has_rules=True):
        self.socket = RecordingSocket()
        self.timers = ManualTimers()
        self.table = RunnerTable()
        self.rings = PoolRings(table=self.table, region=ENGINE.region)
        homes = RunnerHomes()
        homes.reassign(nodes=["node-1"], pools={"m": [ENGINE.runner_id]})
        limits = PoolLimits("m", 0.0, 0.0, memory_tokens=MEMORY_TOKENS)
        state = DesiredState(1, 1, (), (), False, CallerLimits(), (limits,))
        self.accounting = TokenAccounting(
            engines=EngineView(
                table=self.table,
                rings=self.rings,
                memory=PoolMemory(state=lambda: state),
                is_active=lambda _: is_active,
            ),
            timers=self.timers,
            decisions=None,
            mean_load=MeanLoadEstimator(),
            count_nodes=lambda: 1,
        )
        rules = {
            "extra_rules": self.accounting.rules,
            "prefill_tokens": self.accounting.prefill_tokens,
        }
        self.home = SlotHome(
            own_id="node-1",
            ledger=SlotLedger(),
            table=self.table,
            homes=homes,
            mean_load=MeanLoadEstimator(),
            socket=self.socket,
            timers=self.timers,
            load_bound=LoadBound(slack_slots=4),
            **(rules if has_rules else {}),
        )
        self.set_runner(ENGINE)

    def set_runner(self, runner):
        self.runner = runner
        self.table.apply_host_list(live=[runner], leaving=[], now_ms=0)
        self.rings.rebuild()
        self.home.rebuild()

    def ask(self, node, ask_id, *, own=0, shared=0, objective_ms=400, **fields):
        ask = SlotAsk(
            ask_id,
            self.runner.lifetime_hash,
            fields.pop("seen_mean", 0.0),
            objective_ms=objective_ms,
            prompt_key=PROMPT_KEY,
            shared_tokens=shared,
            own_tokens=own,
            **fields,
        )
        self.socket.receive(ask, peer=PEERS[node])
        return self.socket.sent[-1] if self.socket.sent else None

    def renew(self, node, ask_ids, token_counts):
        renewal = SlotRenewal(self.runner.lifetime_hash, ask_ids, token_counts)
        self.socket.receive(renewal, peer=PEERS[node])

    def release(self, node, ask_id):
        release = SlotRelease(ask_id, self.runner.lifetime_hash)
        self.socket.receive(release, peer=PEERS[node])


@given("a home of an engine with 1000 tokens of memory")
def given_home(context):
    context.token_home = TokenHome()


@given("the engine is not the first of the order of prompts")
def given_other_first(context):
    home = context.token_home
    others = [ENGINE._replace(runner_id=f"other-{n}") for n in range(8)]
    home.table.apply_host_list(live=[ENGINE, *others], leaving=[], now_ms=0)
    home.rings.rebuild()
    assert next(home.rings.order("m", PROMPT_KEY)) != ENGINE.runner_id


@given("node A has a slot there for {own:d} tokens")
def given_slot(context, own):
    assert context.token_home.ask("A", 1, own=own).granted


@given("node A has a slot there for {shared:d} shared and {own:d} own tokens")
def given_shared_slot(context, shared, own):
    assert context.token_home.ask("A", 1, own=own, shared=shared).granted


@when(
    "it takes over the engine, and node A renews {count:d} slots with the token counts "
    '"{counts}"'
)
@when(
    "it takes over the engine, and node A renews {count:d} slots with the token counts "
    '""'
)
def take_over(context, count, counts=""):
    tokens = [int(text) for text in counts.split(",") if text]
    context.token_home.renew("A", list(range(1, count + 1)), tokens)


@when("node C of an earlier release renews {count:d} slots there")
def renew_undescribed(context, count):
    context.token_home.renew("C", list(range(1, count + 1)), [])


@then("node B is {result} {own:d} tokens for {reason} {pause_s:d} s later")
def check_later(context, result, own, reason, pause_s):
    home = context.token_home
    home.timers.at_ms = pause_s * 1_000
    context.run(home.home.expire())
    reply = home.ask("B", 2, own=own)
    assert reply.granted is (result == "granted"), reply
    if not reply.granted:
        assert RefusalReason(reply.reason).label == reason, reply


@then("node B is granted {own:d} tokens {pause_s:d} s later")
def check_granted_later(context, own, pause_s):
    check_later(context, "granted", own, "nothing", pause_s)


@when("node B queues for {own:d} tokens")
def queue(context, own):
    context.token_home.socket.sent.clear()
    context.token_home.ask("B", 2, own=own, wait_ms=400)


@then("node B is granted them once node A releases its slot, and not before")
def check_queued(context):
    home = context.token_home
    assert home.socket.sent == []
    home.release("A", 1)
    assert [(r.ask_id, r.granted) for r in home.socket.sent] == [(2, True)]


@when("the engine restarts under its id")
def restart(context):
    context.token_home.set_runner(ENGINE._replace(born_ms=1))


@then(
    "node B is granted {shared:d} shared and {own:d} own tokens and told that "
    "{tokens:d} are to process"
)
def check_prefill(context, shared, own, tokens):
    reply = context.token_home.ask("B", 2, own=own, shared=shared)
    assert (reply.granted, reply.prefill_tokens) == (True, tokens), reply


@then("node C of an earlier release is granted a slot")
def check_undescribed(context):
    reply = context.token_home.ask("C", 1, objective_ms=0)
    assert (reply.granted, reply.prefill_tokens) == (True, 0), reply


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "queue", "renew", "release", "pass"]),
        st.sampled_from("AB"),
        st.integers(1, 6),
        st.integers(0, 2 * MEMORY_TOKENS),
        st.sampled_from([0.0, 2.0]),
    ),
    max_size=30,
)


def apply_step(home, kind, node, ask_id, tokens, seen_mean):
    if kind == "ask":
        home.ask(node, ask_id, own=tokens, shared=tokens, seen_mean=seen_mean)
    elif kind == "queue":
        home.ask(node, ask_id, own=tokens, wait_ms=400)
    elif kind == "renew":
        home.renew(node, [ask_id], [tokens])
    elif kind == "release":
        home.release(node, ask_id)
    else:
        home.timers.at_ms += 5_000
        asyncio.run(home.home.expire())
        asyncio.run(home.home.serve_queues())


@then("homes with and without the rules answer alike if the pool does not use them")
def check_alike(context):
    @settings(derandomize=True, database=None, deadline=None)
    @given_any(steps=STEPS)
    def check(steps):
        plain = TokenHome(has_rules=False)
        inactive = TokenHome(is_active=False)
        for step in steps:
            apply_step(plain, *step)
            apply_step(inactive, *step)
        assert plain.socket.sent == inactive.socket.sent
        assert plain.home.loads() == inactive.home.loads()

    check()


class ScriptedSocket:
    """A socket whose slot requests are answered by a script."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.sent = []

    def next_ask_id(self):
        return len(self.replies) + 1

    def send(self, peer, message):
        self.sent.append(message)

    async def request(self, node, message, *, reply_type, timeout_ms):
        return self.replies.pop(0)


def make_broker(context, replies):
    own, other = (Node(f"n{n}", "127.0.0.1", 1, n, "z", "region") for n in (1, 2))
    membership = Membership(local_node=own, incarnation=1, rng=Random(1))
    membership.apply_host_list(live=[own, other], leaving=[])
    table = RunnerTable()
    runners = [ENGINE._replace(runner_id=f"engine-{n}") for n in range(3)]
    table.apply_host_list(live=runners, leaving=[], now_ms=0)
    rings = PoolRings(table=table, region=ENGINE.region)
    rings.rebuild()
    homes = RunnerHomes()
    homes.reassign(nodes=["n2"], pools={"m": [r.runner_id for r in runners]})
    context.order = list(rings.order("m", PROMPT_KEY))
    context.broker = SlotBroker(
        membership=membership,
        table=table,
        rings=rings,
        homes=homes,
        slot_home=None,
        socket=ScriptedSocket(replies),
        timeout_ms=30,
    )


@given("a broker of a pool whose homes refuse for memory, for prefill and then grant")
def given_broker(context):
    make_broker(
        context,
        [
            SlotReply(1, False, 5, reason=RefusalReason.MEMORY),
            SlotReply(2, False, 5, reason=RefusalReason.PREFILL),
            SlotReply(3, True, 5, prefill_tokens=900),
        ],
    )


@given(
    "a broker of a pool whose homes refuse for memory with {few:d} slots in use and "
    "for load with {many:d}"
)
def given_full_memory(context, few, many):
    make_broker(
        context,
        [
            SlotReply(1, False, few, reason=RefusalReason.MEMORY),
            SlotReply(2, False, many, reason=RefusalReason.LOAD),
            SlotReply(3, False, many, reason=RefusalReason.LOAD),
            SlotReply(4, True, many),
        ],
    )


@then("its last-resort request gets a slot on a runner that refused for load")
def check_last_resort(context):
    assert context.lease is not None
    assert context.lease.runner.runner_id == context.order[1]


@given("a broker of a pool whose homes are of an earlier release")
def given_earlier_homes(context):
    make_broker(context, [SlotReply(1, True, 5)])


@when("it looks for a slot")
def look_for_slot(context):
    profile = CallProfile(1, 1, 400, PromptCost(PROMPT_KEY, 500, 400, 10))
    context.refusals = {}
    request = SlotRequest(
        "m", PROMPT_KEY, profile, wait_ms=0, refusals=context.refusals
    )
    context.lease = context.run(context.broker.acquire(request))


@then("the lease names the runners passed over for memory and prefill")
def check_passed_over(context):
    first, second, third = context.order
    assert context.lease.runner.runner_id == third
    assert dict(context.lease.passed_over) == {first: "memory", second: "prefill"}
    assert context.refusals == {
        first: RefusalReason.MEMORY,
        second: RefusalReason.PREFILL,
    }


@then("it has the {tokens:d} tokens that the third home said are to process")
def check_tokens(context, tokens):
    assert context.lease.prefill_tokens == tokens


@then("the lease has no tokens to process")
def check_no_tokens(context):
    assert context.lease.prefill_tokens == 0


@when(
    "slots for 860 and 30 tokens are granted, the first is released, and each is "
    "reported"
)
def fill_and_free(context):
    context.lines = []
    sink = logger.add(lambda line: context.lines.append(line.record), level="INFO")
    context.add_cleanup(lambda: logger.remove(sink))
    home = context.token_home

    def update():
        home.accounting.update(home.home.loads())

    home.ask("A", 1, own=860)
    update()
    home.ask("A", 2, own=30)
    update()
    home.release("A", 1)
    update()
    update()


@then(
    "the log says that the engine is full with {full:d} tokens, and free again with "
    "{free:d}"
)
def check_reported(context, full, free):
    found = [
        (line["extra"]["is_full"], line["extra"]["reserved_tokens"])
        for line in context.lines
        if line["extra"]["event"] == Event.RUNNER_MEMORY_FULL.value.number
    ]
    assert found == [(True, full), (False, free)], found


@then(
    "the gauge of its reserved tokens is {tokens:d}, and 0 once another node is its "
    "home"
)
def check_gauge(context, tokens):
    accounting, metrics = context.token_home.accounting, Metrics()
    labels = {"runner": ENGINE.runner_id}
    for homed, expected in (([ENGINE.runner_id], tokens), ([], 0)):
        accounting.set_gauges(metrics, homed)
        assert metrics.runner_reserved_tokens.get(labels) == expected


@then(
    "a call of {prompt:d} prompt tokens with a maximum of {output:d} is described with "
    "{described:d}"
)
def check_described(context, prompt, output, described):
    call = EdgeCall(
        call_id="call",
        method="POST",
        target="/",
        path="/",
        hostname="host",
        forwarded_headers=(),
        head_bytes=0,
        body=b"",
        key=None,
        budget_ms=None,
        model="m",
        prompt_parts=(PromptPart("part", prompt),),
        last_event=None,
        max_output_tokens=output,
    )
    route = Route(
        "r", "host", "/", CallKind.STREAM, (), 1, 1, 0, 0, 1, False, False, True
    )
    admitted = AdmittedCall(call, route, "m", None, 0, 0.0, 1.0, 1, prompt_key=1)
    cost = context.token_home.accounting.describe(admitted)
    assert cost.output_tokens == described, cost
