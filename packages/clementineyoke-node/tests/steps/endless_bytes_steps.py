from __future__ import annotations

import asyncio
import json
import re
import tempfile
import time
from functools import partial

import aiohttp
from aiohttp import web
from behave import given, then, when
from edge_fleet import CALL_ID_HEADER, HOSTNAME, KEY, STORE_HOST
from edge_steps import WHOLE_STREAM, given_streams, wait_until
from overload_settings_steps import make_settings

from clementineyoke_node.bounds.byte_limit_error import ByteLimitError
from clementineyoke_node.bounds.byte_limits import ByteLimits
from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.edge_config import load_edge_config
from clementineyoke_node.edge.peer_state_exchange import (
    STATE_PATH,
    PeerStateExchange,
)
from clementineyoke_node.metrics import Metrics
from clementineyoke_standins.edge.endless_answers import (
    ENDLESS_ANSWERS,
    PART_BYTES,
    send_comments_slowly,
    send_events_forever,
)
from clementineyoke_standins.edge.raw_answers import encode_raw_head

MEGABYTE = 1_000_000
DEADLINE_S = 2.0
MAX_CALLS = 200
READ_PAUSE_S = 0.02
READ_BYTES = 262_144


@given('runner {number:d} sends "{name}" without end')
def given_endless(context, number, name):
    runner = context.fleet.runners[number]
    runner.raw_answer = ENDLESS_ANSWERS[name].send


@given(
    'the other runners answer "{kind}" calls, and runner {number:d} sends "{name}"'
    " without end"
)
def given_one_endless(context, kind, number, name):
    if kind == "streaming":
        given_streams(context)
    given_endless(context, number, name)


@given('the runners {first:d} to {last:d} send "{name}" without end')
def given_many_endless(context, first, last, name):
    for runner in context.fleet.runners[first : last + 1]:
        runner.raw_answer = ENDLESS_ANSWERS[name].send


@given(
    'the other runners answer "streaming" calls, and runner {number:d} sends comments'
    " slowly"
)
def given_slow_comments(context, number):
    given_streams(context)
    context.fleet.runners[number].raw_answer = send_comments_slowly


@given("runner {number:d} sends events without end")
def given_endless_events(context, number):
    context.fleet.runners[number].raw_answer = send_events_forever
    context.started_s = time.monotonic()


async def timed_call(context, kind, number):
    started_s = time.monotonic()
    status, body = 0, ""
    try:
        status, _, body = await context.fleet.call(
            kind, call_id=f"call-{number}", session=context.fleet.concurrent_session
        )
    except aiohttp.ClientError as error:
        body = repr(error)
    return status, body, time.monotonic() - started_s


async def call_in_rounds(context, kind, count, at_once, *, first=0):
    answers = []
    for start in range(first, first + count, at_once):
        numbers = range(start, min(first + count, start + at_once))
        answers += await asyncio.gather(
            *(timed_call(context, kind, number) for number in numbers)
        )
    context.ended_s = time.monotonic()
    return answers


@when('a caller makes {count:d} "{kind}" calls, {at_once:d} at a time')
def make_calls_in_rounds(context, count, kind, at_once):
    context.answers = context.run(call_in_rounds(context, kind, count, at_once))


@when(
    'a caller makes {count:d} "{kind}" calls or more, {at_once:d} at a time, until'
    " runner {number:d} has got one"
)
def make_calls_until_met(context, count, kind, at_once, number):
    runner = context.fleet.runners[number]
    context.answers = context.run(call_in_rounds(context, kind, count, at_once))
    while not runner.calls:
        assert len(context.answers) < MAX_CALLS, f"runner {number} got no call"
        first = len(context.answers)
        context.answers += context.run(
            call_in_rounds(context, kind, at_once, at_once, first=first)
        )


@when('{count:d} callers make a "{kind}" call at once')
def make_calls_at_once(context, count, kind):
    context.answers = context.run(call_in_rounds(context, kind, count, count))


@then("each call ends within {limit_ms:d} ms, and none waits for its deadline")
def check_times(context, limit_ms):
    times_ms = [round(took_s * 1000) for _, _, took_s in context.answers]
    assert max(times_ms) <= limit_ms, (times_ms, context.answers)


@then("no call waits for its deadline")
def check_deadlines(context):
    assert max(took_s for _, _, took_s in context.answers) < DEADLINE_S
    assert all(status != 504 for status, _, _ in context.answers), context.answers


@then("all are answered by other runners")
def check_all_answered(context):
    statuses = [status for status, _, _ in context.answers]
    assert statuses == [200] * len(statuses), context.answers
    assert context.fleet.runners[0].calls, "the bad runner got no call"


@then("some are answered by other runners")
def check_some_answered(context):
    statuses = {status for status, _, _ in context.answers}
    assert statuses <= {200, 502}, context.answers
    assert 200 in statuses, context.answers
    assert context.fleet.runners[0].calls, "the bad runner got no call"


@then("all callers get the whole answer")
def check_whole(context):
    answers = [(status, body) for status, body, _ in context.answers]
    assert answers == [(200, "whole")] * len(answers), answers


@then("all callers get the whole stream")
def check_whole_streams(context):
    bodies = [body for _, body, _ in context.answers]
    assert bodies == [WHOLE_STREAM] * len(bodies), bodies


@then("those that runner {number:d} got are cut, and all others get the whole stream")
def check_cut_streams(context, number):
    cut = {call.call_id for call in context.fleet.runners[number].calls}
    for n, (_, body, _) in enumerate(context.answers):
        is_whole = body == WHOLE_STREAM
        assert is_whole is (f"call-{n}" not in cut), (n, body)
    sent = [call.call_id for call in context.fleet.calls()]
    assert len(sent) == len(set(sent)), sent


@then("no connection took more than {megabytes:d} MB")
def check_taken(context, megabytes):
    wait_for_ends(context, 0)
    taken = [send.sent_bytes for send in context.fleet.runners[0].raw_sends]
    assert taken, "the runner sent nothing"
    assert max(taken) <= megabytes * MEGABYTE, taken


def wait_for_ends(context, number):
    runner = context.fleet.runners[number]
    raw_count = len(runner.calls)
    context.run(wait_until(lambda: len(runner.raw_sends) >= raw_count, 3))


@then("all connections to runner {number:d} are closed within {limit_s:d} s")
def check_closed(context, number, limit_s):
    wait_for_ends(context, number)
    last_s = max(send.ended_s for send in context.fleet.runners[number].raw_sends)
    ended_s = getattr(context, "ended_s", None) or time.monotonic()
    assert last_s <= ended_s + limit_s, last_s - ended_s


@then("the call ended within {limit_s:d} s of its deadline")
def check_call_ended(context, limit_s):
    took_s = time.monotonic() - context.started_s
    assert DEADLINE_S <= took_s <= DEADLINE_S + limit_s, took_s


def held_bytes(context):
    return context.fleet.nodes[0].io.byte_limits.held


@then("the node never held more than {megabytes:d} MB")
def check_peak(context, megabytes):
    peak = held_bytes(context).peak_bytes
    assert peak <= megabytes * 2**20, peak


@then("it holds nothing afterwards")
def check_released(context):
    held = held_bytes(context)
    context.run(wait_until(lambda: held.total_bytes == 0, 2))


@then("its body has no address, header, exception or bytes of the runner")
def check_body(context):
    body = context.answer[2]
    assert set(json.loads(body)) == {"step", "reason"}, body
    internals = r"127\.0\.0|Error|Exception|X-|x-|xxx|http|Tracebac|call-1"
    assert re.search(internals, body) is None, body


@then('refusals of kind "{kind}" are counted')
def check_counted(context, kind):
    assert count_refusals(context, kind) >= 1


def answer_long(call, *, size, is_chunked):
    part = b"y" * PART_BYTES
    fields = {"Transfer_Encoding": "chunked"}
    if not is_chunked:
        fields = {"Content_Length": str(size)}

    async def send():
        yield encode_raw_head(call, **fields)
        left = size
        while left:
            sent = part[:left]
            left -= len(sent)
            yield b"%x\r\n%s\r\n" % (len(sent), sent) if is_chunked else sent
        if is_chunked:
            yield b"0\r\n\r\n"

    return send()


@given("the runner answers with {megabytes:d} MB {form}")
def given_long(context, megabytes, form):
    context.size = megabytes * MEGABYTE
    for runner in context.fleet.runners:
        runner.raw_answer = partial(
            answer_long, size=context.size, is_chunked=form == "in chunks"
        )


def open_call(context, kind, call_id):
    """Return the response to a call, whose body the step reads in its own way."""
    method = "GET" if kind == "idempotent" else "POST"
    fields = {
        "Host": HOSTNAME,
        CALL_ID_HEADER: call_id,
        "X-Deadline-Ms": "2000",
        "Authorization": f"Token {KEY}",
    }
    url = context.fleet.url(0, 0, f"/{kind}/x")
    return context.fleet.concurrent_session.request(method, url, headers=fields)


async def read_slowly(context, kind, number):
    size = 0
    async with open_call(context, kind, f"slow-{number}") as response:
        while part := await response.content.read(READ_BYTES):
            size += len(part)
            await asyncio.sleep(READ_PAUSE_S)
    return response.status, size


@when('{count:d} callers read "{kind}" answers slowly')
def make_slow_calls(context, count, kind):
    async def act():
        return await asyncio.gather(
            *(read_slowly(context, kind, number) for number in range(count))
        )

    context.sizes = context.run(act())


@then("each gets the whole answer")
def check_sizes(context):
    assert context.sizes == [(200, context.size)] * len(context.sizes), context.sizes


@then("node {number:d} has got it from a peer, and not cut it")
def check_forwarded(context, number):
    decisions = context.fleet.nodes[number].state.decisions.find("slow-0")
    events = {decision["event"].lower() for decision in decisions}
    assert "forwarded" in events, events
    assert "answer_cut" not in events, events


@given("the runner fails with {megabytes:d} MB")
def given_long_failure(context, megabytes):
    context.size = megabytes * MEGABYTE

    async def send(call):
        yield encode_raw_head(call, "500 Failed", Content_Length=str(context.size))
        yield b"f" * context.size

    context.fleet.runners[0].raw_answer = send


@then("the caller gets {status:d}, {whole} the runner's body")
def check_failure(context, status, whole):
    assert context.answer[0] == status, context.answer[:2]
    is_whole = context.answer[2] == "f" * context.size
    assert is_whole is (whole == "and"), len(context.answer[2])


async def leave_early(context, kind, number):
    async with open_call(context, kind, f"early-{number}") as response:
        await response.content.read(1)
        response.close()
    await asyncio.sleep(0.2)


@when('a caller leaves {count:d} "{kind}" answers after their first bytes')
def leave_answers(context, count, kind):
    for number in range(count):
        context.run(leave_early(context, kind, number))


@then("the node has logged no failure of a runner")
def check_no_failure(context):
    node = context.fleet.nodes[0]
    for number in range(3):
        lines = node.state.decisions.find(f"early-{number}")
        assert "runner_failed" not in str(lines), lines


@given("the runners break off answers of {megabytes:d} MB in the middle")
def given_broken(context, megabytes):
    async def send(call):
        yield encode_raw_head(call, Content_Length=str(megabytes * MEGABYTE))
        yield b"z" * (megabytes * MEGABYTE // 2)
        await asyncio.sleep(0.1)
        raise ConnectionResetError

    for runner in context.fleet.runners:
        runner.raw_answer = send


@when("a node's settings have max_answer_bytes {answer} and max_held_bytes {held}")
def load_settings(context, answer, held):
    fields = {"max_answer_bytes": answer, "max_held_bytes": held}
    document = make_settings()
    for name, text in fields.items():
        document[name] = int(text) if text.isdigit() else text
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(document, file)
        file.flush()
        try:
            load_edge_config(file.name)
        except ConfigError as error:
            context.error = error


@then('they are refused with "{text}"')
def check_settings_error(context, text):
    assert text in str(context.error), context.error


@when("the store answers lists and watches without end for {length_s:d} s")
def run_endless_store(context, length_s):
    async def act():
        store = context.fleet.store
        store.is_endless = True
        # A watch that waits gets the bytes when something changes.
        await context.fleet.put_state()
        context.statuses = []
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            context.statuses.append((await context.fleet.call("idempotent"))[0])
            await asyncio.sleep(0.05)
        store.is_endless = False

    context.run(act())


@then("calls are served meanwhile")
def check_served(context):
    assert set(context.statuses) == {200}, context.statuses


@then("no call to the store took more than {megabytes:d} MB")
def check_store_taken(context, megabytes):
    sizes = context.fleet.store.endless_bytes
    assert len(sizes) >= 2, sizes
    assert max(sizes) <= megabytes * MEGABYTE, sizes


@then("the log says that the node refused the store's bytes")
def check_store_refusals(context):
    assert count_refusals(context, "body") >= 1


def count_refusals(context, kind):
    counter = context.fleet.nodes[0].state.metrics.bytes_refused
    return counter.get({"kind": kind})


@then("the node follows the store again within {limit_s:d} s")
def check_follows(context, limit_s):
    async def act():
        fleet = context.fleet
        await fleet.put_state()
        routes = fleet.nodes[0].io.view
        await wait_until(lambda: routes.routes.state.version == fleet.version, limit_s)

    context.run(act())


@when("a peer answers a request for its state without end")
def fetch_from_endless_peer(context):
    taken = []

    async def answer(request):
        response = web.StreamResponse()
        await response.prepare(request)
        sent = 0
        try:
            while True:
                await response.write(b"p" * PART_BYTES)
                sent += PART_BYTES
                await asyncio.sleep(PART_BYTES / 40_000_000)
        finally:
            taken.append(sent)

    async def act():
        app = web.Application()
        app.router.add_get(STATE_PATH, answer)
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, STORE_HOST, 0)
        await site.start()
        port = runner.addresses[0][1]
        limits = ByteLimits(
            max_answer_bytes=4_194_304, max_held_bytes=8_388_608, metrics=Metrics()
        )
        exchange = PeerStateExchange(
            view=StartingView(),
            crash_tracker=None,
            pool_versions=None,
            timers=None,
            signer=None,
            byte_limits=limits,
        )
        async with exchange:
            try:
                await exchange._request_state(f"{STORE_HOST}:{port}")
            except ByteLimitError as error:
                context.error = error
        await wait_until(lambda: bool(taken), 2)
        await runner.cleanup()

    context.run(act())
    context.taken = taken


class StartingView:
    """A node's view before it knows anything."""

    state_revision = runners_revision = 0

    @property
    def evacuations(self):
        return self

    @property
    def view(self):
        return self

    @property
    def revision(self):
        return 0


@then("the state is refused, and its connection took no more than {megabytes:d} MB")
def check_peer_refused(context, megabytes):
    assert context.error.size_bytes > 4_194_304, context.error
    assert max(context.taken) <= megabytes * MEGABYTE, context.taken
