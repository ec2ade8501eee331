from __future__ import annotations

from behave import given, then, when
from cut_heads_steps import stop_nodes
from edge_fleet import EdgeFleet
from edge_steps import WHOLE_STREAM, wait_until
from malformed_heads_steps import CALL_ID, KINDS, call_node

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.early_runner import (
    WINDOW_BYTES,
    EarlyAnswer,
    EarlyEnd,
    EarlyRunner,
)
from clementineyoke_standins.edge.raw_answers import (
    EVENT_STREAM,
    encode_event,
    encode_raw_head,
    encode_raw_stream,
)
from clementineyoke_standins.edge.raw_caller import GrammarError
from clementineyoke_standins.edge.written_specs import runner_spec

SOUND_BODY = b"the whole answer"
EVENTS = WHOLE_STREAM.count("id: ")


def is_stream(call):
    return "streaming" in call.target


def answer_sound(call):
    if is_stream(call):
        events = [encode_event(number) for number in range(1, EVENTS + 1)]
        return encode_raw_stream(call, events)
    return encode_raw_head(call, Content_Length=str(len(SOUND_BODY))) + SOUND_BODY


async def play(kind, answer, *, window_bytes, upload_bytes):
    """Return the answer to an upload, and how many runners got it."""
    fleet = EdgeFleet(nodes=1, runners=0)
    calls = []

    def answer_first(call):
        calls.append(call)
        return answer(call) if len(calls) == 1 else None

    options = {"answer": answer_first, "sound_answer": answer_sound}
    runners = [EarlyRunner(**options, window_bytes=window_bytes) for _ in range(2)]
    async with fleet, runners[0], runners[1]:
        for number, runner in enumerate(runners):
            address = f"127.0.0.1:{runner.port}"
            spec = runner_spec(pool="pool", address=address, zone="zone", state="ready")
            await fleet.store.put("servers", f"early-{number}", spec)
        table = fleet.nodes[0].state.table
        await wait_until(lambda: len(list(table.entries())) == len(runners), 3)
        got = await call_node(fleet, kind, CALL_ID, body=b"x" * upload_bytes)
        await stop_nodes(fleet)
    return kind, got, len(calls)


@given("a node with two runners that do not read ahead")
def given_small_windows(context):
    context.window_bytes = WINDOW_BYTES


@given("a node with two runners")
def given_usual_windows(context):
    context.window_bytes = None


@when(
    'the first runner of an upload of {kb:d} kB answers "{status}" {framing},'
    " and then: {end} after {delay_ms:d} ms"
)
def answer_early(context, kb, status, framing, end, delay_ms):
    def answer(call):
        body = encode_event(1) if is_stream(call) else b"a part"
        fields = {"Content_Type": EVENT_STREAM if is_stream(call) else "text/plain"}
        if framing == "with a length":
            fields["Content_Length"] = str(len(body))
        return EarlyAnswer(status, fields, body, EarlyEnd(end), delay_ms / 1000)

    async def act():
        context.rows = [
            await play(
                kind, answer, window_bytes=context.window_bytes, upload_bytes=kb * 1000
            )
            for kind in KINDS
        ]

    context.run(act())


def find_fault(kind, answer, count):
    """Return what is wrong with the answer to an upload that was first cut."""
    if isinstance(answer, GrammarError):
        return str(answer)
    found = (answer.status, answer.body.decode(), count)
    expected = {
        "idempotent": (200, SOUND_BODY.decode(), 2),
        "non_idempotent": (502, found[1], 1),
        "streaming": (200, WHOLE_STREAM, 2),
    }[kind]
    return "" if found == expected else repr(found)


@then("the other runner serves the uploads that may run again, and the third fails")
def check_served(context):
    faults = [(row[0], fault) for row in context.rows if (fault := find_fault(*row))]
    assert not faults, faults


@then("callers get status {status:d} from the first runner")
def check_passed_on(context, status):
    for kind, answer, count in context.rows:
        assert not isinstance(answer, GrammarError), (kind, answer)
        assert (answer.status, count) == (status, 1), (kind, answer, count)
        assert answer.values(names.SERVER_SIGNATURE), (kind, answer)
