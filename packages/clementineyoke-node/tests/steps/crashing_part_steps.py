from __future__ import annotations

import asyncio
import contextlib
import time
from typing import NamedTuple

import aiohttp
from behave import given, then, when
from crashing_request_steps import MAX_REFUSAL_S, crashes, decisions_of
from edge_fleet import make_route
from edge_steps import WHOLE_STREAM, wait_until

from clementineyoke_standins.edge.edge_runner import CrashManner, ScriptedResponse

CRASHING_PART = "bad0"
SHARED_PART = "5e0a"
OTHER_SHARED_PART = "77c1"
INTERVAL_S = 0.2
"""Between two requests with the crashing part."""


class Answer(NamedTuple):
    """What a caller got for a request."""

    call_id: str
    status: int | None
    """None if the answer broke."""
    headers: dict[str, str]
    body: str
    elapsed_s: float

    @property
    def is_whole(self):
        return self.status == 200 and self.body == WHOLE_STREAM


def prompt(*parts):
    return ",".join(f"{part}:100" for part in parts)


async def send(context, call_id, *parts, number=0, kind="streaming"):
    """Send a request whose body and last part are its own."""
    started_s = time.monotonic()
    status, headers, body = None, {}, ""
    with contextlib.suppress(aiohttp.ClientError):
        status, headers, body = await context.fleet.call(
            kind,
            number=number % len(context.fleet.nodes),
            call_id=call_id,
            data=f"body of {call_id}".encode(),
            headers={"X-Model": "m", "X-Prompt-Prefix": prompt(*parts, call_id)},
            session=context.fleet.concurrent_session,
        )
    return Answer(call_id, status, headers, body, time.monotonic() - started_s)


@given("a part of a prompt that crashes every runner that starts to answer")
def given_crashing_part(context):
    context.bad_parts = (SHARED_PART, CRASHING_PART)
    context.sound_parts = (SHARED_PART, OTHER_SHARED_PART)
    prepare(context)


@given("a first part of a prompt that crashes every runner that starts to answer")
def given_crashing_first_part(context):
    context.bad_parts = (CRASHING_PART, SHARED_PART)
    context.sound_parts = (OTHER_SHARED_PART,)
    prepare(context)


def prepare(context):
    for runner in context.fleet.runners:
        runner.crashing_parts = {CRASHING_PART}
        runner.fallback_response = ScriptedResponse.STREAM


@given("the runners frame no answers and close connections in order when they crash")
def given_no_framing(context):
    for runner in context.fleet.runners:
        runner.frames_streams = False
        runner.crash_manner = CrashManner.CLOSE
        runner.fallback_response = ScriptedResponse.STREAM


@given("the runners signal draining in their answers")
def given_draining(context):
    for runner in context.fleet.runners:
        runner.is_draining = True


@given("another call's connection stays open when a runner crashes")
def given_lasting_connection(context):
    """Hold a call at the runner whose connection the crash does not end."""
    (runner,) = context.fleet.runners

    async def act():
        runner.fallback_response = ScriptedResponse.HANG
        context.held = asyncio.ensure_future(
            send(context, "5000", SHARED_PART, kind="idempotent")
        )
        while not runner.calls:
            await asyncio.sleep(INTERVAL_S / 10)
        runner.forget_connections()
        runner.fallback_response = ScriptedResponse.STREAM

    context.run(act())
    context.add_cleanup(lambda: context.held.cancel())


@when(
    "{count:d} requests with that part are sent,"
    " beside sound ones with the same first part"
)
@when(
    "{count:d} requests with that part are sent, beside sound ones of the same caller"
)
def send_requests(context, count):
    async def act():
        sound = []
        for index in range(count):
            parts = (*context.sound_parts, f"c0{index % 3}")
            sound.append(
                asyncio.ensure_future(
                    send(context, f"50{index:02}", *parts, number=index + 1)
                )
            )
            bad = await send(context, f"ba{index:02}", *context.bad_parts, number=index)
            await asyncio.sleep(INTERVAL_S)
        context.last_bad = bad
        context.sound = await asyncio.gather(*sound)

    context.run(act())


@when("a request with that part is sent that may go to {runners:d} runner")
def send_one(context, runners):
    async def act():
        await context.fleet.put_state(
            make_route("streaming", runners=runners, resumable=True)
        )
        view, version = context.fleet.nodes[0].io.view, context.fleet.version
        await wait_until(lambda: view.routes.state.version == version, 2)
        context.answer = await send(context, "ba00", *context.bad_parts)

    context.run(act())


@when("a sound request is sent")
def send_sound(context):
    context.answer = context.run(send(context, "5000", SHARED_PART))


@then("at most {count:d} runners have crashed")
def check_crashed(context, count):
    assert 0 < crashes(context) <= count, crashes(context)


@then("the last request with that part was refused at once with 503 and a Retry-After")
def check_bad_refused(context):
    assert context.last_bad.status == 503, context.last_bad
    assert float(context.last_bad.headers["Retry-After"]) > 0, context.last_bad
    assert context.last_bad.elapsed_s < MAX_REFUSAL_S, context.last_bad


@then(
    "no sound request was refused for the crashes, and the last {count:d} were served"
)
def check_sound_served(context, count):
    refused = [answer for answer in context.sound if "check_crashes" in answer.body]
    assert not refused, refused
    failed = [answer for answer in context.sound[-count:] if not answer.is_whole]
    assert not failed, failed


@then("its answer is not complete")
def check_not_complete(context):
    assert context.answer.status != 200, context.answer


@then("its answer is complete")
def check_complete(context):
    assert context.answer.is_whole, context.answer


@then("the log says that its connection was lost, and which parts its prompt shares")
def check_logged(context):
    (failed,) = [
        decision["fields"]
        for decision in decisions_of(context, 0, context.answer.call_id)
        if decision["event"] == "runner_failed"
    ]
    assert failed["is_connection_lost"], failed
    assert failed["prompt_parts"] == list(context.bad_parts), failed


@then("the log says that its answer ended with its connection")
def check_end_logged(context):
    answered = decisions_of(context, 0, context.answer.call_id)[-1]
    assert answered["fields"]["ended_by"] == "connection", answered


async def send_to(context, nodes, name):
    """Send one request with the crashing part to each of the nodes."""
    ids = [f"{name}{number:x}" for number in nodes]
    context.answers = await asyncio.gather(
        *(
            send(context, call_id, *context.bad_parts, number=number)
            for call_id, number in zip(ids, nodes, strict=True)
        )
    )
    context.sent_ids = ids


def received(context):
    """Return the ids of the latest requests that have reached a runner."""
    return {call.call_id for call in context.fleet.calls()} & set(context.sent_ids)


@when("{count:d} more requests with that part are sent to the newest node")
def send_to_newest(context, count):
    newest = len(context.fleet.nodes) - 1
    context.run(send_to(context, [newest] * count, "fe"))


@then("none of these has reached a runner")
def check_none_received(context):
    assert not received(context), context.answers


@when("a request with that part waits for a slot while {count:d} others are sent")
def send_while_waiting(context, count):
    broker = context.fleet.nodes[0].io.broker
    acquire = broker.acquire
    may_go_on = asyncio.Event()

    async def wait_and_acquire(slot_request):
        broker.acquire = acquire
        await may_go_on.wait()
        return await acquire(slot_request)

    async def act():
        broker.acquire = wait_and_acquire
        waiting = asyncio.ensure_future(send_to(context, [0], "aa"))
        await asyncio.sleep(INTERVAL_S)
        for index in range(count):
            await send(context, f"ba{index:02}", *context.bad_parts, number=1)
            await asyncio.sleep(INTERVAL_S)
        may_go_on.set()
        await waiting

    context.run(act())


@then("it was refused with 503 and has not reached a runner")
def check_waiting_refused(context):
    assert not received(context), context.answers
    assert [answer.status for answer in context.answers] == [503], context.answers


@when("one request with that part is sent to each node at the same moment")
def send_to_each(context):
    async def act():
        nodes = list(range(len(context.fleet.nodes)))
        await send_to(context, nodes, f"{len(context.fleet.calls()):x}")
        await asyncio.sleep(INTERVAL_S)

    context.run(act())


@then("{count:d} of these has reached a runner")
def check_received(context, count):
    assert len(received(context)) == count, (received(context), context.answers)


@when("the runners are mended")
def mend_runners(context):
    async def act():
        for runner in context.fleet.runners:
            runner.crashing_parts = set()
        await asyncio.gather(*context.restarts)
        await asyncio.sleep(INTERVAL_S)

    context.run(act())


@then("within {limit_s:d} s a request with that part is served at every node")
def check_mended(context, limit_s):
    async def act():
        deadline_s = time.monotonic() + limit_s
        while True:
            await send_to(context, list(range(len(context.fleet.nodes))), "ab")
            if all(answer.is_whole for answer in context.answers):
                return
            assert time.monotonic() < deadline_s, context.answers
            await asyncio.sleep(INTERVAL_S)

    context.run(act())


@when(
    "{count:d} requests with that part are sent,"
    ' and every second one is answered as "{answer}"'
)
def send_with_answers(context, count, answer):
    async def act():
        for index in range(count):
            for runner in context.fleet.runners:
                is_answered = index % 2
                runner.crashing_parts = set() if is_answered else {CRASHING_PART}
                runner.fallback_response = ScriptedResponse(
                    answer if is_answered else "stream"
                )
            context.last_bad = await send(
                context, f"ba{index:02}", *context.bad_parts, number=index
            )
            await asyncio.sleep(INTERVAL_S)

    context.run(act())
