from __future__ import annotations

import asyncio
import contextlib
import gzip
import math
from functools import partial
from types import SimpleNamespace

import aiohttp
from behave import given, then, when
from edge_fleet import make_route
from edge_steps import version_in_force, wait_until
from leaving_node_steps import connect, encode_request
from multidict import CIMultiDict, CIMultiDictProxy

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.bounds.byte_limits import ByteLimits
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.caller_stream import CallerStream
from clementineyoke_node.edge.response_checks import check_peer_begun
from clementineyoke_node.edge.streams.stream_reader import EventReader
from clementineyoke_node.metrics import Metrics
from clementineyoke_node.platform.relay_codec import decode_relayed_head
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.edge.raw_answers import (
    encode_event,
    encode_raw_head,
    encode_raw_stream,
)
from clementineyoke_standins.edge.source_filter import reset_connection
from clementineyoke_wire.response_head import BodyEnd

BROKEN_AFTER = 3
MISSING = [encode_event(number) for number in range(BROKEN_AFTER + 1, EVENTS + 1)]
WHOLE = [encode_event(number) for number in range(1, EVENTS + 1)]
UNNUMBERED = b"data: unnumbered\n\n"


async def send(*parts):
    for part in parts:
        yield part


async def begin_stream(call, events):
    """Send the head and some events in chunks, and break off within the next one."""
    whole = encode_raw_stream(call, [*events, b"id: "])
    yield whole[: -len(b"0\r\n\r\n")]
    await asyncio.sleep(0.05)
    raise ConnectionResetError


def encode_document(call, status="200 OK", body=b"a document", **fields):
    length = str(len(body))
    return encode_raw_head(call, status, Content_Length=length, **fields) + body


STREAM_TYPE = {"Content_Type": "text/event-stream"}
FOREVER_S = 3600.0


def split_bytes(data):
    return [data[n : n + 1] for n in range(len(data))]


RESTS = {
    "an empty response": lambda call: encode_raw_head(
        call, "204 No Content", Content_Type="text/event-stream"
    ),
    "part of a document": lambda call: encode_raw_stream(
        call, MISSING, "206 Partial Content"
    ),
    "a stream accepted for later": lambda call: encode_raw_stream(
        call, MISSING, "202 Accepted"
    ),
    "events with a content coding": lambda call: encode_raw_stream(
        call, [gzip.compress(b"".join(MISSING))], Content_Encoding="gzip"
    ),
    "a document": encode_document,
    "a stream that leaves out one": lambda call: encode_raw_stream(call, MISSING[1:]),
    "a stream that ends before": lambda call: encode_raw_stream(call, WHOLE[:2]),
    "a stream that ends in an event": lambda call: encode_raw_stream(
        call, [*MISSING, b"id: 7\ndata"]
    ),
    "the events that are missing": lambda call: encode_raw_stream(call, MISSING),
    "the whole stream from event 1": lambda call: encode_raw_stream(call, WHOLE),
    "a stream with lines of its own": lambda call: encode_raw_stream(
        call, [WHOLE[0], UNNUMBERED, *WHOLE[1:]]
    ),
    "a stream with comments": lambda call: encode_raw_stream(
        call, [b": ping\n\n", *MISSING, b": ping\n\n"]
    ),
    "lines that end with CR LF": lambda call: encode_raw_stream(
        call, [encode_event(n, line_end=b"\r\n") for n in range(4, EVENTS + 1)]
    ),
    "an event from further on": lambda call: encode_raw_stream(
        call, [encode_event(9), *MISSING]
    ),
    "events without numbers": lambda call: encode_raw_stream(
        call, [WHOLE[0], UNNUMBERED]
    ),
    "a later part, not framed": lambda call: (
        encode_raw_head(call, **STREAM_TYPE) + b"".join(MISSING[1:])
    ),
    "chunks of one byte": lambda call: encode_raw_stream(
        call, split_bytes(b"".join(MISSING))
    ),
    "CR LF in chunks of one byte": lambda call: encode_raw_stream(
        call,
        split_bytes(
            b"".join(encode_event(n, line_end=b"\r\n") for n in range(1, EVENTS + 1))
        ),
    ),
    "comments between all events": lambda call: encode_raw_stream(
        call, [b": ping\n\n" + event + b":\n" for event in WHOLE]
    ),
    "numbers that go back": lambda call: encode_raw_stream(
        call, [*MISSING[:2], WHOLE[1], *MISSING]
    ),
    "each event twice": lambda call: encode_raw_stream(
        call, [event for event in MISSING for _ in range(2)]
    ),
    "from event 2, each event twice": lambda call: encode_raw_stream(
        call, [event for event in WHOLE[1:] for _ in range(2)]
    ),
    "the missing events, not framed": lambda call: (
        encode_raw_head(call, **STREAM_TYPE) + b"".join(MISSING)
    ),
    "nothing": lambda call: encode_raw_stream(call, []),
    "the whole stream, unnumbered": lambda call: encode_raw_stream(
        call, [UNNUMBERED] * EVENTS
    ),
    "another run": lambda call: encode_raw_stream(
        call, [encode_event(n).replace(b"piece", b"other") for n in range(1, 7)]
    ),
    "a last event without its number": lambda call: encode_raw_stream(
        call, [*MISSING[:-1], b"data: piece 6\n\n"]
    ),
}


async def send_rest(call, rest):
    yield RESTS[rest](call)
    if rest.endswith("not framed"):
        raise ConnectionResetError  # The stand-in closes the connection in order.


@given('a stream breaks after {count:d} events, and goes on as "{rest}"')
def given_rest(context, count, rest):
    def answer(call):
        if len(context.fleet.calls()) == 1:
            return begin_stream(call, WHOLE[:count])
        return send_rest(call, rest)

    for runner in context.fleet.runners:
        runner.raw_answer = answer


def unframed(call, body):
    return encode_raw_head(call, **STREAM_TYPE) + body


def begun(call, events, *, tail=b""):
    """A stream in chunks without the last one."""
    return encode_raw_stream(call, events)[: -len(b"0\r\n\r\n")] + tail


FIRST = WHOLE[:BROKEN_AFTER]
TORN = MISSING[0][:9]
BREAKS = {
    "a reset within an event": (lambda call: begun(call, [*FIRST, TORN]), "reset"),
    "a reset before the last chunk": (lambda call: begun(call, WHOLE), "reset"),
    "a reset between events": (lambda call: begun(call, FIRST), "reset"),
    "an end between events": (lambda call: begun(call, FIRST), "end"),
    "an end within an event": (
        lambda call: encode_raw_stream(call, [*FIRST, TORN]),
        "end",
    ),
    "an end within an event, not framed": (
        lambda call: unframed(call, b"".join(FIRST) + TORN),
        "end",
    ),
    "an end within a line end, not framed": (
        lambda call: unframed(call, b"".join(FIRST) + MISSING[0][:-1]),
        "end",
    ),
    "a reset between events, not framed": (
        lambda call: unframed(call, b"".join(FIRST)),
        "reset",
    ),
    "an end within a chunk": (
        lambda call: begun(call, FIRST, tail=b"40\r\n" + TORN),
        "end",
    ),
    "fewer bytes than announced": (
        lambda call: (
            encode_raw_head(call, Content_Length="900", **STREAM_TYPE) + b"".join(FIRST)
        ),
        "end",
    ),
    "bytes that are no chunk": (
        lambda call: begun(call, FIRST, tail=b"no chunk\r\n"),
        "end",
    ),
    "a silence after the first events": (lambda call: begun(call, FIRST), "silence"),
    "a reset after unnumbered events": (
        lambda call: begun(call, [UNNUMBERED] * BROKEN_AFTER),
        "reset",
    ),
    "a silence after unnumbered events": (
        lambda call: begun(call, [UNNUMBERED] * BROKEN_AFTER),
        "silence",
    ),
}


async def break_off(runner, data, how):
    yield data
    await asyncio.sleep(0.05)
    if how == "silence":
        await asyncio.sleep(FOREVER_S)
    if how == "reset":
        for writer in list(runner._writers):
            reset_connection(writer)
    raise ConnectionResetError  # The stand-in closes the connection in order.


@given('a stream breaks off as "{manner}", and goes on as "{rest}"')
def given_break(context, manner, rest):
    make, how = BREAKS[manner]
    for runner in context.fleet.runners:

        def answer(call, runner=runner):
            if len(context.fleet.calls()) == 1:
                return break_off(runner, make(call), how)
            return send_rest(call, rest)

        runner.raw_answer = answer


@given("streams are not resumable, and a call may be sent to {count:d} runners")
def given_not_resumable(context, count):
    route = make_route("streaming", runners=count, resumable=False)
    context.run(context.fleet.put_state(route))
    context.run(wait_until(lambda: version_in_force(context) == 2, 2))


@when('a caller makes an "{kind}" call')
def make_call(context, kind):
    context.answer = None
    with contextlib.suppress(aiohttp.ClientError):
        context.answer = context.run(context.fleet.call(kind))


@given('the runners go on with a stream as "{rest}"')
def given_rests(context, rest):
    for runner in context.fleet.runners:
        runner.raw_answer = partial(send_rest, rest=rest)


@when("a caller takes a stream up after event {event_id:d}")
def take_up(context, event_id):
    context.answer = None
    headers = {"Last-Event-Id": str(event_id)}
    with contextlib.suppress(aiohttp.ClientError):
        context.answer = context.run(context.fleet.call("streaming", headers=headers))


@then("the caller gets the events from {event_id:d} on")
def check_events_from(context, event_id):
    assert context.answer is not None, "broken off"
    assert context.answer[0] == 200, context.answer
    body = context.answer[2].replace("\r\n", "\n")
    pieces = [line for line in body.split("\n") if line.startswith("data: ")]
    wanted = [f"data: piece {n}" for n in range(event_id, EVENTS + 1)]
    assert pieces == wanted, body


def send_parts(context, parts):
    """Answer the next calls with events of these ids, the last one from then on."""
    parts = [part.split() for part in parts.split(", ")]

    def answer(call):
        *_, last = ids = parts[0] if len(parts) == 1 else parts.pop(0)
        events = [
            encode_event(int(event_id)) for event_id in ids if event_id != "break"
        ]
        whole = encode_raw_stream(call, events)
        return begin_stream(call, events) if last == "break" else send(whole)

    for runner in context.fleet.runners:
        runner.raw_answer = answer


@given('{count:d} streams of several runners had the events "{ids}"')
def send_streams(context, count, ids):
    send_parts(context, ids)

    async def act():
        for number in range(count):
            answer = await context.fleet.call("streaming", call_id=f"before-{number}")
            assert answer[0] == 200, answer

    context.run(act())
    assert sum(1 for runner in context.fleet.runners if runner.calls) > 1


@given('the runners that get the next stream send "{parts}"')
def given_parts(context, parts):
    send_parts(context, parts)


@then('the caller gets the events "{ids}"')
def check_event_ids(context, ids):
    assert context.answer is not None, "broken off"
    assert context.answer[0] == 200, context.answer
    pieces = [line for line in context.answer[2].split("\n") if "data" in line]
    assert pieces == [f"data: piece {n}" for n in ids.split()], pieces


@then("the caller gets no end of the stream")
def check_no_end(context):
    assert context.answer is None or context.answer[0] >= 500, context.answer


@then("no pieces of two runs are joined")
def check_not_joined(context):
    if context.answer is None or context.answer[0] != 200:
        return
    body = context.answer[2]
    assert not ("piece" in body and "other" in body), body


@when("two requests come on one connection, the first of which breaks")
def send_two(context):
    async def act():
        reader, writer = await connect(context.fleet)
        for number in range(2):
            request = encode_request(f"call-{number}", method="POST", kind="streaming")
            writer.write(request)
        context.received = b""
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.wait_for(reader.read(65_536), 5):
                context.received += data
        writer.close()

    context.run(act())


@then("nothing follows the first events of the stream")
def check_nothing_follows(context):
    assert context.received.count(b"HTTP/1.1") == 1, context.received
    assert b"0\r\n\r\n" not in context.received, context.received
    assert b"piece 3" in context.received, context.received


@then("the caller gets {count:d} events, each once")
def check_events(context, count):
    assert context.answer[0] == 200, context.answer
    body = context.answer[2].replace("\r\n", "\n")
    pieces = [line for line in body.split("\n") if line.startswith("data: ")]
    assert pieces == [f"data: piece {n}" for n in range(1, count + 1)], body


def answer_with(context, status, body, **fields):
    context.body = body

    def answer(call):
        head = {"Content_Type": "text/event-stream", **fields}
        return send(encode_document(call, status, body, **head))

    for runner in context.fleet.runners:
        runner.raw_answer = answer


@given("the runners stream events with numbers of {digits:d} digits")
def given_long_numbers(context, digits):
    body = b"id: %s\ndata: a\n\n" % (b"7" * digits)
    answer_with(context, "200 OK", body)


@given("the runners stream events with a content coding")
def given_coded(context):
    body = gzip.compress(b"".join(WHOLE), mtime=0)
    answer_with(context, "200 OK", body, Content_Encoding="gzip")


@then("the caller gets the runner's body")
def check_body(context):
    status, headers, body = context.answer
    assert status == 200, context.answer
    wanted = context.body
    if headers.get("Content-Encoding") == "gzip":
        wanted = gzip.decompress(wanted)
    assert body.encode() == wanted, (body, headers)


class Body:
    """The body of a response that has arrived as a whole."""

    def __init__(self, parts):
        self.parts = [*parts, b""]
        self.content = self

    async def readany(self):
        return self.parts.pop(0)


class WrittenResponse(SimpleNamespace):
    """Collects what is written to the caller."""

    async def write(self, data):
        self.body += data

    async def prepare(self, request):
        pass


def make_reader(response, stream, limits):
    return EventReader(
        response=response,
        stream=stream,
        peer="p",
        byte_limits=limits,
        deadline_ms=math.inf,
        timers=TimerService(),
    )


def make_peer_head(status, **fields):
    fields = {
        "X-Server-Signature": "proof",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        **fields,
    }
    return decode_relayed_head(status, CIMultiDictProxy(CIMultiDict(fields)))


def find_failure(act):
    try:
        act()
    except AttemptError as error:
        return error.outcome
    return None


@then("events that come with the beginning of one that is too long reach the caller")
def check_events_before_long_one(context):
    stream = CallerStream(request=None, last_event_id=None)
    stream._response = WrittenResponse(status=200, body=b"")
    limits = ByteLimits(
        max_answer_bytes=65_536, max_held_bytes=65_536, metrics=Metrics()
    )
    long_event = b"id: 3\ndata: " + b"x" * 70_000
    response = SimpleNamespace(
        client_response=Body([WHOLE[0] + WHOLE[1] + long_event, b"x"])
    )

    async def read(reader):
        return await reader.next_events(asyncio.timeout(1))

    with make_reader(response, stream, limits) as reader:
        events = context.run(read(reader))
        assert [event.event_id for event in events] == [1, 2], events
        failure = find_failure(lambda: context.run(read(reader)))
    assert failure is AttemptOutcome.LOST, failure


@then("what is held of an event is released when it is whole")
def check_released_event(context):
    stream = CallerStream(request=None, last_event_id=None)
    limits = ByteLimits(
        max_answer_bytes=65_536, max_held_bytes=65_536, metrics=Metrics()
    )
    body = Body([b"id: 1\ndata: " + b"x" * 60_000, b"\n\n"])
    response = SimpleNamespace(client_response=body)

    async def read(reader):
        return await reader.next_events(asyncio.timeout(1))

    with make_reader(response, stream, limits) as reader:
        assert len(context.run(read(reader))) == 1
        assert limits.held.peak_bytes > 60_000
        assert limits.held.total_bytes == 0


@contextlib.asynccontextmanager
async def fail_at_end():
    yield
    raise ConnectionResetError


@then("events whose reading fails are expected of the next runner")
def check_failed_reading(context):
    stream = CallerStream(request=None, last_event_id=None)
    stream._response = WrittenResponse(status=200, body=b"")
    limits = ByteLimits(
        max_answer_bytes=65_536, max_held_bytes=65_536, metrics=Metrics()
    )

    async def read(events, timeout):
        await stream.start(make_peer_head(200), is_leaving=False)
        response = SimpleNamespace(client_response=Body(events))
        with make_reader(response, stream, limits) as reader:
            await stream.write_events(await reader.next_events(timeout))

    context.run(read(WHOLE[:1], contextlib.nullcontext()))
    failure = find_failure(lambda: context.run(read(WHOLE[1:], fail_at_end())))
    assert failure is AttemptOutcome.LOST, failure
    assert stream.last_event_id == 1, stream.last_event_id
    context.run(read([b"".join(WHOLE[1:])], contextlib.nullcontext()))
    assert stream.response.body == b"".join(WHOLE), stream.response.body


@then("a stream that comes from a peer is refused as one that comes from a runner")
def check_peer(context):
    heads = (
        make_peer_head(204),
        make_peer_head(206),
        make_peer_head(200, **{"Content-Encoding": "gzip"}),
    )
    for head in heads:
        check = partial(check_peer_begun, head, peer="p", stream_status=200)
        assert find_failure(check) is AttemptOutcome.FAILED, head
    stream = CallerStream(request=None, last_event_id=None)
    stream._response = WrittenResponse(status=200, body=b"")
    stream.body_end = BodyEnd.CHUNKS

    limits = ByteLimits(
        max_answer_bytes=1_000_000, max_held_bytes=1_000_000, metrics=Metrics()
    )

    async def begin(events):
        await stream.start(make_peer_head(200), is_leaving=False)
        response = SimpleNamespace(client_response=Body(events))
        with make_reader(response, stream, limits) as reader:
            while (read := await reader.next_events(asyncio.timeout(1))) is not None:
                await stream.write_events(read)

    context.run(begin(WHOLE[:3]))
    failure = find_failure(lambda: context.run(begin(MISSING[1:])))
    assert failure is AttemptOutcome.FAILED, failure
    failure = find_failure(lambda: context.run(begin(WHOLE[:2])))
    assert failure is AttemptOutcome.LOST, failure
    assert stream.response.body == b"".join(WHOLE[:3]), stream.response.body
