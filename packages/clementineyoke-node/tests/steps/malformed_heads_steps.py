from __future__ import annotations

import asyncio
import re
from typing import NamedTuple

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from behave import then, when
from cut_heads_steps import stop_nodes
from edge_fleet import STORE_HOST, EdgeFleet
from edge_steps import WHOLE_STREAM
from hypothesis import (
    given as hypothesis_given,
    settings as hypothesis_settings,
    strategies,
)
from leaving_node_steps import encode_request

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import EdgeRunner, ScriptedResponse
from clementineyoke_standins.edge.malformed_answers import (
    BODY,
    AnswerForm,
    Framing,
    send_answer,
)
from clementineyoke_standins.edge.raw_answers import SIGNATURE, encode_event
from clementineyoke_standins.edge.raw_caller import GrammarError, RawAnswer, call_raw
from clementineyoke_standins.edge.source_filter import LinkCut
from clementineyoke_wire.response_head import (
    HEAD_END,
    STATUSES_WITHOUT_BODY,
    BodyEnd,
    HeadError,
    find_body_end,
    has_bare_line_feed,
    parse_head,
)

KINDS = ("idempotent", "non_idempotent", "streaming")
CALL_ID = "the-call"
CALL_TIMEOUT_S = 5.0
LATIN_1 = "latin-1"


class PlayedCall(NamedTuple):
    """A call's answer, how many runners got it, and whether one is said to drain."""

    kind: str
    answer: RawAnswer | GrammarError
    count: int
    drains: bool


def unescape(text):
    """Return the bytes of a cell, in which others than ASCII are escaped."""
    return text.encode().decode("unicode_escape").encode(LATIN_1)


def make_form(status, field, framing):
    return AnswerForm(unescape(status), unescape(field), Framing(framing))


async def call_node(fleet, kind, call_id, *, method="POST", body=b""):
    """Return the answer to a call, or why what has come is none."""
    fields = "Connection: close\r\n"
    request = encode_request(
        call_id, method=method, kind=kind, fields=fields, body=body
    )
    try:
        return await call_raw(
            "127.0.0.2", fleet.ports[0], request, timeout_s=CALL_TIMEOUT_S
        )
    except GrammarError as error:
        return error


async def play(kind, make_answer):
    """Make a call to a fleet of its own."""
    fleet = EdgeFleet(nodes=1, runners=2)
    async with fleet:
        for runner in fleet.runners:
            runner.responses_by_prefix["/streaming/"] = ScriptedResponse.STREAM
            runner.raw_answer = make_answer
        method = "GET" if kind == "idempotent" else "POST"
        answer = await call_node(fleet, kind, CALL_ID, method=method)
        table = fleet.nodes[0].state.table
        drains = [table.is_draining(runner.runner_id) for runner in fleet.runners]
        await stop_nodes(fleet)
        return PlayedCall(kind, answer, len(fleet.calls()), any(drains))


def answer_once(form):
    """Return the first answer to a call; the next one is sound."""
    calls = []

    def answer(call):
        calls.append(call)
        if len(calls) > 1:
            return None
        body = encode_event(1) if "streaming" in call.target else BODY
        return send_answer(call, form, body)

    return answer


@when('the first runner of each call answers "{status}" with "{field}" and {end}')
def answer_first(context, status, field, end):
    async def act():
        context.played = [
            await play(kind, answer_once(make_form(status, field, end)))
            for kind in KINDS
        ]

    context.run(act())


def find_fault(played):
    """Return what is wrong with the answer to a call whose first one is broken."""
    kind, answer, count, _ = played
    if isinstance(answer, GrammarError):
        return str(answer)
    signatures = answer.values(names.SERVER_SIGNATURE)
    found = (answer.status, answer.body.decode(LATIN_1), len(signatures), count)
    expected = {
        "idempotent": (200, f"answer to {CALL_ID}", 1, 2),
        "non_idempotent": (502, found[1], 0, 1),
        "streaming": (200, WHOLE_STREAM, 1, 2),
    }[kind]
    return "" if found == expected else repr(found)


@then("the other runner serves the calls that may run again, and the third fails")
def check_served(context):
    faults = [(p.kind, fault) for p in context.played if (fault := find_fault(p))]
    assert not faults, faults


@then("the node has learnt nothing from these answers")
def check_unlearnt(context):
    draining = [played.kind for played in context.played if played.drains]
    assert not draining, draining


@when('a runner answers "{status}" with "{field}", "{body}" and {end}')
def answer_unusual(context, status, field, body, end):
    context.body = unescape(body.strip("-"))

    form = make_form(status, field, end)
    played = play("non_idempotent", lambda call: send_answer(call, form, context.body))
    context.answer = context.run(played).answer


@then("the caller gets this answer with status {status:d}")
def check_unusual(context, status):
    answer = context.answer
    assert not isinstance(answer, GrammarError), answer
    assert (answer.status, answer.body) == (status, context.body), answer
    assert answer.values(names.SERVER_SIGNATURE) == [SIGNATURE], answer


@when('a peer answers a call that it relays "{status}" with "{field}" and {end}')
def answer_relayed(context, status, field, end):
    fleet = EdgeFleet(nodes=2, runners=1, has_own_sources=True)
    peer = EdgeRunner(runner_id="peer")
    form = make_form(status, field, end)
    peer.raw_answer = lambda call: send_answer(call, form)

    async def act():
        async with fleet, peer:
            fleet.runners[0].cut_links(["127.0.0.2"], LinkCut.RESET)
            relay = fleet.nodes[0].io.peer_relay
            choose = relay.choose_peers
            relay.choose_peers = lambda pool: [
                node._replace(address=STORE_HOST, caller_port=peer.port)
                for node in choose(pool)
            ]
            async with asyncio.timeout(CALL_TIMEOUT_S):
                while not peer.calls:
                    answer = await call_node(fleet, "idempotent", CALL_ID, method="GET")
            await stop_nodes(fleet)
        return answer

    context.answer = context.run(act())


@then("the caller learns that the call failed")
def check_failed(context):
    answer = context.answer
    assert not isinstance(answer, GrammarError), answer
    assert (answer.status, answer.values(names.SERVER_SIGNATURE)) == (502, []), answer


MAX_BODY_BYTES = 60_000
STATUS_LINES = tuple(
    b"HTTP/1.%d %d OK" % (minor, status)
    for minor in (0, 1)
    for status in (103, 200, 204, 205, 304, 500)
)
FIELD_LINES = (
    *(b"Content-Length: 5", b"content-length:\t0 ", b"Content-Length: 00007"),
    *(b"Transfer-Encoding: chunked", b"TRANSFER-ENCODING:Chunked "),
    *(b"Connection: close", b"Connection: keep-alive, Upgrade", b"Upgrade: websocket"),
    *(b"X-Note:", b"X-Note: a\tb", b"X-Note: \x80", b"Trailer: X-Note"),
)
FRAGMENTS = (
    *(b"\r\n", b"\n", b"\r", b"\r\n\r\n", b"\r\n ", b" ", b"\t", b":", b" :", b","),
    *(b"\x00", b"\x01", b"\x7f", b"\x80", b"0", b"5", b"a", b"gzip, ", b"HTTP/1.1 "),
)


@strategies.composite
def changed_heads(draw):
    """Return a head of some lines, in many of which a part is replaced by another."""
    lines = draw(strategies.lists(strategies.sampled_from(FIELD_LINES), max_size=4))
    status_line = draw(strategies.sampled_from(STATUS_LINES))
    head = b"\r\n".join([status_line, *lines, b"", b""])
    if draw(strategies.booleans()):
        place = draw(strategies.integers(0, len(head)))
        removed = draw(strategies.sampled_from((0, 1, 2, 8)))
        head = (
            head[:place]
            + draw(strategies.sampled_from(FRAGMENTS))
            + head[place + removed :]
        )
    return head.lstrip(HEAD_END).partition(HEAD_END)[0] + HEAD_END


def read_by_parser(head, body, loop, *, is_head_call):
    """Return what aiohttp's parser reads in a head, and whether the body ends it."""
    parser = HttpResponseParser(
        BaseProtocol(loop),
        loop,
        65_536,
        read_until_eof=True,
        response_with_body=not is_head_call,
    )
    messages, is_upgraded, rest = parser.feed_data(head)
    ((message, payload),) = messages
    assert not is_upgraded and not rest, head
    if body:
        assert not payload.is_eof(), head
        parser.feed_data(body)
    return message, payload.is_eof()


def body_of(head, length, *, is_head_call):
    """Return a body that ends as a head says, or a part where nothing ends it."""
    if head.body_end is BodyEnd.CHUNKS:
        return b"4\r\nbody\r\n0\r\n\r\n"
    if head.body_end is BodyEnd.CONNECTION:
        return b"body"
    is_bodiless = head.status in STATUSES_WITHOUT_BODY or not head.is_final
    return b"" if is_bodiless or is_head_call else b"x" * int(length)


@then(
    "the parser reads each of {examples:d} such heads that the check accepts as the"
    " check does"
)
def check_parser(context, examples):
    loop = context.runner.get_loop()
    accepted = {end: set() for end in BodyEnd}

    @hypothesis_settings(max_examples=examples, derandomize=True, deadline=None)
    @hypothesis_given(changed_heads(), strategies.booleans())
    def compare(head, is_head_call):
        try:
            if has_bare_line_feed(head):
                return
            checked = parse_head(head, answers_head_request=is_head_call)
        except HeadError:
            return
        lengths = re.findall(rb"(?i)\ncontent-length:[ \t]*([0-9]+)", head)
        length = lengths[0].decode() if lengths else None
        if length is not None and int(length) > MAX_BODY_BYTES:
            return
        body = body_of(checked, length, is_head_call=is_head_call)
        message, has_ended = read_by_parser(head, body, loop, is_head_call=is_head_call)
        assert message.code == checked.status, (head, checked)
        ends = checked.body_end is not BodyEnd.CONNECTION
        assert has_ended == ends, (head, checked, body)
        assert checked.body_end is find_body_end(
            message.code,
            length=message.headers.get("Content-Length"),
            coding=message.headers.get("Transfer-Encoding"),
            answers_head_request=is_head_call,
        ), (head, checked)
        accepted[checked.body_end].add(head)

    compare()
    counts = {end.value: len(heads) for end, heads in accepted.items()}
    assert sum(counts.values()) > examples / 20, counts
    assert min(counts.values()) > examples / 100, counts
