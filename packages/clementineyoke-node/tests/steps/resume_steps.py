from __future__ import annotations

import asyncio
from functools import partial

from aiohttp import web
from behave import given, then, when
from one_node import MODEL, TEAM_KEY


async def read_and_disconnect(context, tokens, min_bytes):
    """Read at least ``min_bytes`` of a stream, then close the connection."""
    fleet = context.fleet
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    body["messages"] = [{"role": "user", "content": "rules"}]
    request_headers = {"Authorization": TEAM_KEY, "X-Resumable": "1"}
    url = f"{fleet.caller_url}/v1/chat/completions"
    context.received = b""
    async with fleet.session.post(url, json=body, headers=request_headers) as response:
        context.token = response.headers["X-Resume"]
        context.request_id = response.headers["X-Request-Id"]
        while len(context.received) < min_bytes and not response.content.at_eof():
            context.received += await response.content.readany()
        response.close()


def request_rest(context, token, **headers):
    path = f"/v1/streams?after={len(context.received)}"
    return context.fleet.send("GET", path, X_Resume=token, **headers)


@given("engines that resume streams with a length")
def given_lengths(context):
    async def send_rest(engine, send, request, stream, *, offset, **options):
        if request.method == "POST":
            return await send(request, stream, offset=offset, **options)
        body = b"".join([part async for part in stream.read_from(offset)])
        headers = engine._headers(request)
        return web.Response(
            body=body, headers=headers, content_type="text/event-stream"
        )

    for engine in context.fleet.engines:
        engine._send_stream = partial(send_rest, engine, engine._send_stream)


@when("a resumable stream of {tokens:d} tokens breaks after a part of it")
def break_stream(context, tokens):
    context.tokens = tokens
    context.run(read_and_disconnect(context, tokens, min_bytes=500))


@when("a resumable stream of {tokens:d} tokens breaks after all of it")
def break_after_end(context, tokens):
    context.run(read_and_disconnect(context, tokens, min_bytes=10**6))


@when("a resumable stream of {tokens:d} tokens breaks after all of it but {n:d} bytes")
def break_near_end(context, tokens, n):
    context.tokens = tokens
    break_after_end(context, tokens)
    context.received = context.received[: len(context.received) - n]


@when("it is resumed from the last byte received")
def resume(context):
    context.rest = context.run(request_rest(context, context.token))


@when("it is resumed {count:d} bytes after the last byte received")
def resume_ahead(context, count):
    context.received += b"x" * count
    context.response = context.run(request_rest(context, context.token))


@when("another team and a forged token request the rest")
def request_without_right(context):
    async def run():
        other = "Bearer league/other/secret-of-other"
        forged = context.token.replace(context.request_id, "0" * 32)
        return await asyncio.gather(
            request_rest(context, context.token, Authorization=other),
            request_rest(context, forged),
        )

    context.responses = context.run(run())


@when("the engine discards it and it is resumed")
def discard_and_resume(context):
    for engine in context.fleet.engines:
        engine._streams.clear()
    context.response = context.run(request_rest(context, context.token))


@then("both parts together are the complete response")
def check_parts(context):
    assert len(context.received) > 0 and context.rest[2]
    check_rest(context)


@then("the rest completes the response")
def check_rest(context):
    status, headers, body = context.rest
    assert status == 200, body
    complete_body = (context.received + body).decode()
    lines = [line for line in complete_body.split("\n\n") if "content" in line]
    assert len(lines) == context.tokens
    for index, line in enumerate(lines):
        assert f"{context.request_id}:{index} " in line, line
    assert complete_body.endswith("data: [DONE]\n\n")
    assert headers["X-Request-Id"] == context.request_id


@then("no chat was run twice")
def check_once(context):
    assert sum(engine.stats["chats"] for engine in context.fleet.engines) == 1


@then("both are refused with status {status:d}")
def check_refused(context, status):
    assert [response[0] for response in context.responses] == [status, status]
