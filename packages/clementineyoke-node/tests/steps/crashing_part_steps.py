from __future__ import annotations

import asyncio
import contextlib
import time
from typing import NamedTuple

import aiohttp
from behave import given, then, when
from crashing_request_steps import MAX_REFUSAL_S, crashes, decisions_of
from edge_fleet import make_route
from edge_steps import WHOLE_STREAM

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
