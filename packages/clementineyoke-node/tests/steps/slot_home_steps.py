from __future__ import annotations

from random import Random

from behave import given, then, when

from clementineyoke_core.cold_runners import ColdRunnerLimit, ColdRunners
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.mean_load import MeanLoadEstimator
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_core.runner_homes import RunnerHomes
from clementineyoke_core.runner_table import RunnerTable
from clementineyoke_core.slot_ledger import SlotHolder, SlotLedger
from clementineyoke_node.peers.peer_socket import PeerAddress, PeerMessage, PeerSocket
from clementineyoke_node.slots.slot_home import SlotHome
from clementineyoke_wire.message_signer import MessageSigner
from clementineyoke_wire.messages import RunnerFault, SlotAsk, SlotRelease, SlotReply

RUNNER = Runner("engine-1", "127.0.0.1", 1, "zone", "region", RunnerKind.ENGINE, "m", 1)
PEER = PeerAddress("127.0.0.9", 9)


class ManualTimers:
    """A clock that only advances when ``at_ms`` is set."""

    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class RecordingSocket:
    """A socket that records handlers and sent messages."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, peer, message):
        self.sent.append(message)

    def receive(self, message, *, peer=PEER):
        self.handlers[type(message)](PeerMessage(peer, 1, message))


def make_home(context, *, live=(), leaving=(), cold_runners=None, make_rules=None):
    context.socket = RecordingSocket()
    context.timers = ManualTimers()
    table = RunnerTable()
    table.apply_host_list(live=live, leaving=leaving, now_ms=0)
    homes = RunnerHomes()
    homes.reassign(nodes=["node-1"], pools={"m": ["engine-1"]})
    ledger = SlotLedger()
    context.home = SlotHome(
        own_id="node-1",
        ledger=ledger,
        table=table,
        homes=homes,
        mean_load=MeanLoadEstimator(),
        socket=context.socket,
        timers=context.timers,
        cold_runners=cold_runners,
        extra_rules=() if make_rules is None else make_rules(ledger, table),
    )
    context.home.rebuild()


def request_slot(context, ask_id, wait_ms=0):
    runner = hash_text("engine-1")
    context.socket.receive(SlotAsk(ask_id, runner, 0.0, wait_ms=wait_ms))


@given("a home whose host list shows a runner as leaving")
def given_leaving(context):
    make_home(context, leaving=[RUNNER])


@given("a home whose runner has its 1 slot in use")
def given_full(context):
    make_home(context, live=[RUNNER])
    context.holder = SlotHolder("node-1", 1)
    context.home.acquire("engine-1", context.holder, seen_mean=0.0).unwrap()


def make_socket(incarnation, seed):
    return PeerSocket(
        signer=MessageSigner(keys=["key"]),
        address=PEER,
        incarnation=incarnation,
        rng=Random(seed),
    )


@given("a home with 4 slots free and a node that has made {count:d} requests")
def given_earlier_requests(context, count):
    context.old = make_socket(incarnation=1_000_000, seed=1)
    context.old_ask_ids = [context.old.next_ask_id() for _ in range(count)]


@when("the node restarts after {pause_s:d} seconds and makes {count:d} requests")
def restart(context, pause_s, count):
    new = make_socket(incarnation=1_000_000 + pause_s, seed=2)
    context.new_ask_ids = [new.next_ask_id() for _ in range(count)]


@then("the last grants of the old process and the 4 new ones are all counted")
def check_counted(context):
    ledger = SlotLedger()
    holders = [SlotHolder("peer", n) for n in context.old_ask_ids + context.new_ask_ids]
    for holder in holders:
        ledger.acquire("engine-1", holder, bound=10**6, now_ms=0).unwrap()
    assert ledger.in_use("engine-1") == len(holders)


@given(
    "a home whose runner has {slots:d} slots and accepts {calls:d} calls a second "
    "while cold"
)
def given_cold_limit(context, slots, calls):
    cold_runners = ColdRunners()
    cold_runners.set_limits({"m": ColdRunnerLimit(calls, 3_000)})
    make_home(context, live=[RUNNER._replace(slots=slots)], cold_runners=cold_runners)


@when(
    "{pause:g} s later {count:d} nodes request it, "
    "each after the previous one is answered"
)
def request_later(context, pause, count):
    context.timers.at_ms += pause * 1_000
    for ask_id in range(count):
        request_slot(context, ask_id)
        release = SlotRelease(ask_id, hash_text("engine-1"), is_answered=True)
        context.socket.receive(release)


@then("{count:d} of them gets a slot")
def check_slots(context, count):
    assert [reply.granted for reply in context.socket.sent].count(True) == count


@when("another node requests a slot on it")
def when_requested(context):
    request_slot(context, 7)


@when("another node queues for a slot on it")
def when_queued(context):
    request_slot(context, 7, wait_ms=5_000)


@when("another node queues for a slot on it and cancels")
def queue_and_cancel(context):
    when_queued(context)
    context.socket.receive(SlotRelease(7, hash_text("engine-1")))


@then("the request is refused")
def check_refused(context):
    assert [reply.granted for reply in context.socket.sent] == [False]


@then("it is granted once the slot is released, and not before")
def check_granted(context):
    assert context.socket.sent == []
    context.home.release("engine-1", context.holder)
    assert [(r.ask_id, r.granted) for r in context.socket.sent] == [(7, True)]
    assert context.home.loads() == {"engine-1": 1}


@then("the released slot stays free")
def check_free(context):
    context.home.release("engine-1", context.holder)
    assert context.socket.sent == []
    assert context.home.loads() == {"engine-1": 0}


@given("a home whose runner has its 1 slot free")
def given_free(context):
    make_home(context, live=[RUNNER])


@when("{count:d} nodes report a failure of it")
def report_failures(context, count):
    for _ in range(count):
        context.socket.receive(RunnerFault(hash_text("engine-1")))


@then("a request for it is refused as paused")
def check_paused(context):
    request_slot(context, 1)
    assert context.socket.sent[-1] == SlotReply(
        1, False, 0, is_held=True, reason=RefusalReason.PAUSED
    )


@then("the last request of a search is granted")
def check_last_request(context):
    context.socket.receive(SlotAsk(2, hash_text("engine-1"), 0.01))
    assert context.socket.sent[-1].granted


def report_unreachable(context, number):
    fault = RunnerFault(hash_text("engine-1"), is_unreachable=True)
    context.socket.receive(fault, peer=PEER._replace(port=number))


@when("{count:d} nodes report that they cannot connect to it")
def report_several(context, count):
    for number in range(count):
        report_unreachable(context, number)


@when(
    "a node reports a failed connection, another is answered, and a third reports one"
)
def report_around_answer(context):
    report_unreachable(context, 1)
    request_slot(context, 5)
    release = SlotRelease(5, hash_text("engine-1"), is_answered=True)
    context.socket.receive(release)
    report_unreachable(context, 3)


@then("a request for it is granted")
def check_immediate_grant(context):
    request_slot(context, 6)
    assert context.socket.sent[-1].granted
