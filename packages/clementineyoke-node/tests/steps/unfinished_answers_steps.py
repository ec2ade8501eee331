from __future__ import annotations

import asyncio
import contextlib

import aiohttp
from behave import then, when
from reused_addresses_steps import STREAM_ID, answer_first, make_call, send_rest

from clementineyoke_standins.edge.edge_runner import EVENTS
from clementineyoke_standins.edge.raw_answers import encode_event, encode_raw_head

CLOSE_DELAY_S = 0.05
BEGINNINGS = {
    "the head": b"",
    "the head, at once": b"",
    "a comment": b": working\n\n",
    "an event without end": encode_event(1)[:-2],
}


async def send_beginning(call, sent):
    head = encode_raw_head(call, Content_Type="text/event-stream")
    yield head + BEGINNINGS[sent]
    if not sent.endswith("at once"):
        await asyncio.sleep(CLOSE_DELAY_S)
    raise ConnectionResetError  # The stand-in closes the connection in order.


@when("the first runner of a stream closes its connection after {sent}")
def close_first(context, sent):
    answer_first(context, lambda _, call: send_beginning(call, sent), send_rest)
    make_call(context, "streaming")


@when("each runner of a stream closes its connection after {sent}")
def close_each(context, sent):
    answer_first(
        context,
        lambda _, call: send_beginning(call, sent),
        lambda call: send_beginning(call, sent),
    )
    make_call(context, "streaming")


@when("a caller who has the last event resumes the stream")
def resume_at_end(context):
    answer_first(context, lambda _, call: send_beginning(call, "the head"), send_rest)

    async def act():
        context.answer = None
        with contextlib.suppress(aiohttp.ClientError):
            context.answer = await context.fleet.call(
                "streaming",
                call_id=STREAM_ID,
                headers={"Last-Event-Id": str(EVENTS)},
            )

    context.run(act())


@then("the caller gets an empty answer that is complete")
def check_empty(context):
    assert context.answer is not None, "broken off"
    status, _, body = context.answer
    assert (status, body) == (200, ""), context.answer
