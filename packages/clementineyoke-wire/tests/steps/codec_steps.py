from __future__ import annotations

import re
import tempfile
from pathlib import Path
from typing import get_args, get_type_hints

import capnp
from behave import given, then
from hypothesis import (
    given as for_any,
    settings as hypothesis_settings,
    strategies as st,
)

from clementineyoke_wire import codec
from clementineyoke_wire.codec import decode, encode
from clementineyoke_wire.message_signer import MessageSigner
from clementineyoke_wire.messages import (
    CrashNews,
    CrashNote,
    CrashReport,
    Message,
    PoolLoad,
    RemovalNote,
    RumourNote,
    RunnerNote,
    RunnerSpeed,
    SlotAsk,
    SlotRelease,
    StreamNote,
)
from clementineyoke_wire.wire_error import WireError

FIELD_BITS = {
    "runner": 64,
    "pool": 64,
    "prompt_key": 64,
    "team": 64,
    "settings_version": 64,
    "runners_version": 64,
    "runners_base": 64,
    "state_version": 64,
    "key": 64,
    "revision": 64,
    "state_age_ms": 16,
    "runners_age_ms": 16,
    "evacuations_version": 64,
    "evacuations_age_ms": 16,
    "port": 16,
    "slots": 16,
    "running": 16,
    "waiting": 16,
    "slowdown_percent": 16,
    "time_percent": 16,
    "caller_port": 16,
    "peer_port": 16,
    "calls_per_s": 16,
    "in_use": 16,
    "shard": 16,
    "status": 16,
    "tokens": 16,
    "wait_ms": 16,
    "verdict": 8,
    "objective_ms": 16,
    "reason": 8,
    "priority": 8,
    "state": 8,
    "rejections": 16,
    "companion_runners": 8,
    "teams": 64,
}
NOTES = (PoolLoad, RumourNote, RunnerNote, RemovalNote, CrashNote, StreamNote)
TEXT = st.text(st.characters(exclude_categories=["Cs"], exclude_characters="\0"))
STRATEGIES = {
    bool: st.booleans(),
    float: st.floats(width=32, allow_nan=False),
    str: TEXT,
    bytes: st.binary(max_size=200),
}


def values_of(name, hint):
    if hint is int:
        return st.integers(0, 2 ** FIELD_BITS.get(name, 32) - 1)
    if hint in STRATEGIES:
        return STRATEGIES[hint]
    (entry,) = get_args(hint)
    if entry is int:
        bits = FIELD_BITS.get(name, 32)
        return st.lists(st.integers(0, 2**bits - 1), max_size=5)
    if entry is bytes:
        return st.lists(STRATEGIES[bytes], max_size=5)
    if entry is str:
        return st.lists(TEXT, max_size=5)
    assert entry in NOTES
    return st.lists(messages_of(entry), max_size=5)


def messages_of(cls):
    hints = get_type_hints(cls)
    return st.builds(cls, **{name: values_of(name, hints[name]) for name in hints})


ANY_MESSAGE = st.one_of([messages_of(cls) for cls in get_args(Message)])


def checked(examples):
    # Examples are derived from the source of each decorated check, so that they are the
    # same in every run; rewording a check changes its examples.
    return hypothesis_settings(max_examples=examples, derandomize=True, deadline=None)


@then("any message of each kind is equal after encoding and decoding")
def check_round_trip(context):
    kinds = set()

    @checked(1_200)
    @for_any(ANY_MESSAGE, st.integers(0, 2**32 - 1))
    def check(message, incarnation):
        received = decode(encode(message, incarnation=incarnation))
        assert received.message == message
        assert received.incarnation == incarnation
        kinds.add(type(message))

    check()
    assert kinds == set(get_args(Message))


@then("random bytes and corrupted messages are decoded or raise a WireError")
def check_fuzz(context):
    outcomes = set()

    def feed(data):
        try:
            decode(data)
        except WireError:
            outcomes.add("refused")
        else:
            outcomes.add("decoded")

    @checked(500)
    @for_any(st.binary(max_size=300))
    def check_random(data):
        feed(data)

    @checked(800)
    @for_any(ANY_MESSAGE, st.integers(0), st.integers(0, 255), st.integers(0))
    def check_damaged(message, place, byte, cut):
        data = bytearray(encode(message, incarnation=1))
        data[place % len(data)] = byte
        feed(bytes(data[: cut % (len(data) + 1)]))
        feed(bytes(data))

    @checked(3_000)
    @for_any(st.lists(st.sampled_from([0, 1, 2, 16, 17, 255]), max_size=40))
    def check_tags(values):
        feed(bytes(values))
        feed(bytes([16, *values]))

    check_random()
    check_damaged()
    check_tags()
    assert outcomes == {"refused", "decoded"}


@given("the schema of the release before reports of speed")
def given_earlier_schema(context):
    schema = Path(codec.__file__).with_name("peer.capnp").read_text()
    for addition in (
        r"timePercent @\d+ :UInt16; isRejected @\d+ :Bool; isUnused @\d+ :Bool;",
        r"reachAsk @\d+ :ReachAsk;",
        r"reachReply @\d+ :ReachReply;",
        r"streamNews @\d+ :StreamNews;",
        r"streamAsk @\d+ :StreamAsk;",
        r"streamReply @\d+ :StreamReply;",
        r"trialAsk @\d+ :TrialAsk;",
        r"trialReply @\d+ :TrialReply;",
        r"runnerEnd @\d+ :RunnerEnd;",
        r"runnerBack @\d+ :RunnerBack;",
        r"parts @4 :List\(Data\);[^}]*answeredAgesMs @6 :List\(UInt32\);",
        r"companions @5 :List\(Data\);[^}]*wasAnswered @9 :Bool;",
        r"runnerSpeed @\d+ :RunnerSpeed;",
        r"struct RunnerSpeed \{[^}]*\}",
    ):
        schema, count = re.subn(addition, "", schema)
        assert count == 1, addition
    # One process can load only one schema file with an id.
    schema = re.sub(r"^@0x[0-9a-f]+;", "@0xd2b1f0c4a9e37d52;", schema)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "earlier.capnp")
        path.write_text(schema)
        context.earlier = capnp.load(str(path))


@then("a release of a slot by that release is read as one without a time")
def check_earlier_release(context):
    values = {"askId": 1, "runner": 2, "isAnswered": True}
    envelope = context.earlier.Envelope.new_message(incarnation=3, slotRelease=values)
    received = decode(envelope.to_bytes_packed())
    assert received.message == SlotRelease(1, 2, is_answered=True, time_percent=0)


@then("a release of a slot without a time has the same bytes as in that release")
def check_same_bytes(context):
    values = {"askId": 1, "runner": 2, "isAnswered": True}
    envelope = context.earlier.Envelope.new_message(incarnation=3, slotRelease=values)
    message = SlotRelease(1, 2, is_answered=True)
    assert encode(message, incarnation=3) == envelope.to_bytes_packed()


def read_earlier(context, message):
    packed = encode(message, incarnation=3)
    return context.earlier.Envelope.from_bytes_packed(packed)


@then("a release of a slot with a time is read by that release")
def check_release_with_time(context):
    message = SlotRelease(1, 2, is_answered=True, time_percent=130)
    release = read_earlier(context, message).slotRelease
    assert (release.askId, release.runner, release.isAnswered) == (1, 2, True)


@then("that release does not read a report of speed as another message")
def check_unknown_message(context):
    envelope = read_earlier(context, RunnerSpeed(2, 1, 0, 8, 250, 5))
    try:
        kind = str(envelope.which())
    except (capnp.KjException, ValueError):
        return  # The decoder turns both into a WireError, and the message is dropped.
    raise AssertionError(kind)


@then("a crash report by that release is read as one without parts of prompts")
def check_earlier_report(context):
    values = {"digest": b"request", "runner": "runner", "sentAgeMs": 9, "endedAgeMs": 2}
    envelope = context.earlier.Envelope.new_message(incarnation=3, crashReport=values)
    received = decode(envelope.to_bytes_packed())
    assert received.message == CrashReport(b"request", "runner", 9, 2)


@then("a crash record with other factors is read by that release")
def check_note_with_companions(context):
    note = CrashNote(b"part", 1, 2, ["a", "b"], 5, [b"other"], [3], [7], [9, 5], True)
    (read,) = read_earlier(context, CrashNews([note])).crashNews.crashes
    assert (read.digest, read.clears, read.crashes) == (b"part", 1, 2)


@given('a message signed with the key "{key}"')
def given_signed(context, key):
    context.payload = encode(SlotAsk(1, 2, 0.0), incarnation=1)
    context.datagram = MessageSigner(keys=[key]).sign(context.payload)


@then('a node with the keys "{keys}" accepts it')
def check_accepted(context, keys):
    signer = MessageSigner(keys=keys.split(", "))
    assert signer.verify(context.datagram, peer="peer") == context.payload


def is_refused(keys, datagram):
    try:
        MessageSigner(keys=keys.split(", ")).verify(datagram, peer="peer")
    except WireError as error:
        return error.peer == "peer"
    return False


@then('a node with the key "{keys}" refuses it')
def check_refused(context, keys):
    assert is_refused(keys, context.datagram)


@then('with any one bit changed a node with the keys "{keys}" refuses it')
def check_changed_bits(context, keys):
    for bit in range(len(context.datagram) * 8):
        changed = bytearray(context.datagram)
        changed[bit // 8] ^= 1 << bit % 8
        assert is_refused(keys, bytes(changed)), bit
    assert is_refused(keys, b"")
