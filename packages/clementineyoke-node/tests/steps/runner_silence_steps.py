from __future__ import annotations

import asyncio
import json
import re
import time
from collections import Counter
from itertools import combinations
from typing import NamedTuple

import aiohttp
from behave import given, then, when
from edge_fleet import CALL_ID_HEADER, HOSTNAME, KEY, EdgeFleet, make_route

from clementineyoke_standins.edge.edge_runner import ScriptedResponse
from clementineyoke_standins.edge.source_filter import LinkCut

SLOTS_PER_RUNNER = 32
EVENT_PAUSE_S = 0.05
DISTURBED_AFTER_S = 0.7
CALLER_PATIENCE_S = 3.2
"""Callers abandon a stream after a gap of eight times the allowed pause."""
DEADLINE_MS = 12_000
MAX_RUNNERS = 3
MAX_TRIES = 5
NODE_ADDRESSES = [f"127.0.0.{number + 2}" for number in range(4)]
EVENT_ID = re.compile(r"^id: (\d+)$", re.MULTILINE)


class ReadStream(NamedTuple):
    """What a caller got of a stream."""

    status: int
    event_ids: list[int]
    end: str
    """``whole``, or what the caller saw in place of the end."""
    longest_gap_s: float
    retry_after_s: float


@given("{nodes:d} nodes and {runners:d} runners that send streams of {events:d} events")
def given_streaming_fleet(context, nodes, runners, events):
    fleet = EdgeFleet(
        nodes=nodes, runners=runners, slots=SLOTS_PER_RUNNER, has_own_sources=True
    )
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.event_count = events
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    for runner in fleet.runners:
        runner.fallback_response = ScriptedResponse.STREAM
        runner.event_count = events
        runner.event_pause_s = EVENT_PAUSE_S
    route = make_route(
        "streaming", runners=MAX_RUNNERS, resumable=True, timeoutMs=DEADLINE_MS
    )
    context.run(put_route(fleet, route))


async def put_route(fleet, route):
    await fleet.put_state(route)
    while any(
        node.io.view.routes.state.version != fleet.version for node in fleet.nodes
    ):
        await asyncio.sleep(0.02)


@when("{count:d} runners are silent for {silent_s:g} s amid {streams:d} streams, {how}")
def silence_runners(context, count, silent_s, streams, how):
    runners = context.fleet.runners[:count]

    async def disturb():
        groups = [[runner] for runner in runners] if how == "in turn" else [runners]
        for group in groups:
            await silence(group, silent_s, is_unreachable=how == "out of reach")

    context.reads = context.run(read_amid(context.fleet, streams, disturb))


async def read_amid(fleet, count, disturb):
    """Read streams at once, and return how they ended; disturb them in the middle."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        reads = [
            asyncio.ensure_future(read_stream(fleet, session, number))
            for number in range(count)
        ]
        await asyncio.sleep(DISTURBED_AFTER_S)
        await disturb()
        return await asyncio.gather(*reads)


async def silence(runners, silent_s, *, is_unreachable=False):
    for runner in runners:
        if is_unreachable:
            runner.cut_links(NODE_ADDRESSES, LinkCut.SILENT)
        else:
            runner.fall_silent()
    await asyncio.sleep(silent_s)
    for runner in runners:
        runner.heal_links() if is_unreachable else runner.go_on()


@given("all runners but the first refuse calls after {wait_s:g} s")
def given_refusals(context, wait_s):
    def refuse():
        for runner in context.fleet.runners[1:]:
            runner.is_shedding = True

    context.runner.get_loop().call_later(wait_s, refuse)


@given("the runners begin a stream {delay_s:g} s after they get it")
def given_delay(context, delay_s):
    for runner in context.fleet.runners:
        runner.stream_delay_s = delay_s


@when(
    "{count:d} runners are silent for {silent_s:g} s before {streams:d} streams begin"
)
def silence_before(context, count, silent_s, streams):
    async def act():
        runners = context.fleet.runners[:count]
        silent = asyncio.ensure_future(silence(runners, silent_s))
        await asyncio.sleep(0)
        reads = await read_amid(context.fleet, streams, do_nothing)
        await silent
        return reads

    context.reads = context.run(act())


async def do_nothing():
    pass


@when("nodes and runners stand still for {stall_s:g} s amid {streams:d} streams")
def stall_all(context, stall_s, streams):
    async def disturb():
        time.sleep(stall_s)

    context.reads = context.run(read_amid(context.fleet, streams, disturb))


async def read_stream(fleet, session, number):
    """Read a stream; a caller that is refused as not run returns when it is told to."""
    for attempt in range(MAX_TRIES):
        read = await try_stream(fleet, session, number, attempt)
        if read.status != 503:
            break
        await asyncio.sleep(read.retry_after_s)
    return read


async def try_stream(fleet, session, number, attempt):
    headers = {
        "Host": HOSTNAME,
        CALL_ID_HEADER: f"stream-{number}-{attempt}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
    }
    url = fleet.url(number % len(fleet.nodes), 0, "/streaming/x")
    timeout = aiohttp.ClientTimeout(sock_read=CALLER_PATIENCE_S)
    body, status, end, gap_s, retry_after_s = b"", 0, "whole", 0.0, 0.0
    received_s = time.monotonic()
    try:
        async with session.post(url, headers=headers, timeout=timeout) as response:
            status = response.status
            retry_after_s = float(response.headers.get("Retry-After", 0.0))
            async for chunk in response.content.iter_any():
                body += chunk
                now_s = time.monotonic()
                gap_s, received_s = max(gap_s, now_s - received_s), now_s
    except (aiohttp.ClientError, TimeoutError) as error:
        end = type(error).__name__
    event_ids = [int(text) for text in EVENT_ID.findall(body.decode())]
    return ReadStream(status, event_ids, end, gap_s, retry_after_s)


@then("every caller gets all events of its stream in one answer, each once")
def check_whole(context):
    whole = list(range(1, context.event_count + 1))
    broken = [
        read
        for read in context.reads
        if read.status != 200 or read.end != "whole" or read.event_ids != whole
    ]
    kinds = Counter((read.status, read.end) for read in broken)
    assert not broken, f"{len(broken)} of {len(context.reads)}: {kinds}"


@then("no two runners had one stream for longer than {limit_s:g} s")
def check_overlap(context, limit_s):
    spans = {}
    for runner in context.fleet.runners:
        for call in runner.calls:
            end_s = runner.worked_until_s[call.call_id]
            spans.setdefault(call.call_id, []).append((call.received_s, end_s))
    for call_id, worked in spans.items():
        for one, other in combinations(worked, 2):
            together_s = min(one[1], other[1]) - max(one[0], other[0])
            assert together_s <= limit_s, (call_id, together_s)


@then("streams were sent to further runners at most {limit:d} times")
def check_further(context, limit):
    ids = Counter(call.call_id for call in context.fleet.calls())
    assert ids.total() - len(ids) <= limit, ids.total() - len(ids)


@then("at least {count:d} stream stayed with its runner")
def check_kept(context, count):
    events = [
        json.loads(encoded)["event"]
        for node in context.fleet.nodes
        for encoded in node.state.decisions._encoded_decisions
    ]
    assert events.count("runner_kept") >= count, Counter(events)
