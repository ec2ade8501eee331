from __future__ import annotations

import asyncio

from behave import then, when
from one_node import MODEL, TEAM_KEY


async def begin_and_lose(context, tokens, enough):
    """Read a stream until enough bytes have come, then drop the connection."""
    fleet = context.fleet
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    body["messages"] = [{"role": "user", "content": "rules"}]
    sent = {"Authorization": TEAM_KEY, "X-Resumable": "1"}
    url = f"{fleet.caller_url}/v1/chat/completions"
    context.received = b""
    async with fleet.session.post(url, json=body, headers=sent) as answer:
        context.token = answer.headers["X-Resume"]
        context.request_id = answer.headers["X-Request-Id"]
        while len(context.received) < enough and not answer.content.at_eof():
            context.received += await answer.content.readany()
        answer.close()


def take_up(context, token, **headers):
    path = f"/v1/streams?after={len(context.received)}"
    return context.fleet.send("GET", path, X_Resume=token, **headers)


@when("a resumable stream of {tokens:d} tokens is lost after some of it")
def lose_some(context, tokens):
    context.tokens = tokens
    context.run(begin_and_lose(context, tokens, enough=500))


@when("a resumable stream of {tokens:d} tokens is lost after all of it")
def lose_all(context, tokens):
    context.run(begin_and_lose(context, tokens, enough=10**6))


@when("it is taken up from the byte that had arrived")
def resume(context):
    context.rest = context.run(take_up(context, context.token))


@when("another team and a forged token ask for it")
def ask_wrongly(context):
    async def run():
        other = "Bearer league/other/secret-of-other"
        forged = context.token.replace(context.request_id, "0" * 32)
        return await asyncio.gather(
            take_up(context, context.token, Authorization=other),
            take_up(context, forged),
        )

    context.answers = context.run(run())


@when("the engine forgets it and it is taken up")
def forget(context):
    for engine in context.fleet.engines:
        engine._streams.clear()
    context.answer = context.run(take_up(context, context.token))


@then("both parts together are the whole answer")
def check_parts(context):
    status, headers, body = context.rest
    assert status == 200, body
    assert len(context.received) > 0 and body
    whole = (context.received + body).decode()
    lines = [line for line in whole.split("\n\n") if "content" in line]
    assert len(lines) == context.tokens
    for index, line in enumerate(lines):
        assert f"{context.request_id}:{index} " in line, line
    assert whole.endswith("data: [DONE]\n\n")
    assert headers["X-Request-Id"] == context.request_id


@then("no chat was run twice")
def check_once(context):
    assert sum(engine.stats["chats"] for engine in context.fleet.engines) == 1


@then("both are refused with status {status:d}")
def check_refused(context, status):
    assert [answer[0] for answer in context.answers] == [status, status]
