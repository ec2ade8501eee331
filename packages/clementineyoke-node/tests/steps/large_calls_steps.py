from __future__ import annotations

import asyncio

from behave import given, then, when
from edge_fleet import EdgeFleet

from clementineyoke_node.platform import names
from clementineyoke_standins.edge.edge_runner import ScriptedResponse

SLOW_EVENT_PAUSE_S = 0.3
"""Six events take longer than the longest wait in a queue, 0.4 s."""


@given("a fleet with engines of {memory:d} tokens and priority_admission {setting}")
def given_fleet(context, memory, setting):
    fleet = EdgeFleet(
        runners=1,
        cold={"memory_tokens": memory},
        settings={"priority_admission": setting == "on"},
    )
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    for runner in fleet.runners:
        runner.fallback_response = ScriptedResponse.STREAM


async def stream(context, call_id, prompt, output, **headers):
    fields = {
        **headers,
        names.PROMPT_PARTS: f"part-{call_id}:{prompt}",
        names.TOKEN_COUNTS: f"{prompt},{output}",
    }
    return await context.fleet.call(
        "streaming",
        call_id=call_id,
        headers=fields,
        session=context.fleet.concurrent_session,
    )


@given("a slow stream of a prompt of {prompt:d} tokens")
def given_slow_stream(context, prompt):
    (runner,) = context.fleet.runners
    runner.event_pause_s = SLOW_EVENT_PAUSE_S

    async def start():
        context.slow = asyncio.ensure_future(stream(context, "slow", prompt, 10))
        while not runner.calls:
            await asyncio.sleep(0.01)

    context.run(start())


@when(
    "a caller streams a prompt of {prompt:d} tokens with at most {output:d} output "
    "tokens"
)
def when_streamed(context, prompt, output):
    context.status, context.fields, context.body = context.run(
        stream(context, "call-1", prompt, output)
    )


async def fetch_metrics(context):
    url = context.fleet.url(0, 3, "/metrics")
    async with context.fleet.concurrent_session.get(url) as response:
        return await response.text()


def find_fields(context, event):
    decisions = context.fleet.nodes[0].state.decisions.find("call-1")
    return next(d["fields"] for d in decisions if d["event"] == event)


@then("it is answered")
def check_answered(context):
    assert context.status == 200, (context.status, context.body)


@then("it is rejected with 413, has reached no runner, and its log names the sizes")
def check_too_large(context):
    assert context.status == 413, (context.status, context.body)
    assert "does not fit" in context.body, context.body
    assert not context.fleet.calls()
    assert find_fields(context, "call_too_large") == {
        "pool": "pool",
        "prompt_tokens": 1001,
        "expected_output_tokens": 0,
        "memory_tokens": 1000,
    }
    assert find_fields(context, "route_refused")["step"] == "check_size"


@then("it is rejected with 503, and its log names memory and the sizes")
def check_refused(context):
    assert context.status == 503, (context.status, context.body)
    fields = find_fields(context, "route_refused")
    assert fields["refusals"] == {"memory": 1}, fields
    sizes = (fields["prompt_tokens"], fields["expected_output_tokens"])
    assert sizes == (500, 10), fields
    assert fields["retry_after_ms"] > 0, fields


@then("the metrics show {tokens:d} tokens reserved on the engine")
def check_metrics(context, tokens):
    page = context.run(fetch_metrics(context))
    line = f'clementineyoke_runner_reserved_tokens{{runner="runner-0"}} {tokens}'
    assert line in page, page
    context.run(asyncio.wait_for(context.slow, 5))


@when(
    "a caller streams {count:d} prompts of {prompt:d} tokens with at most {output:d} "
    "output tokens"
)
def stream_several(context, count, prompt, output):
    for number in range(count):
        status, _, body = context.run(stream(context, f"call-{number}", prompt, output))
        assert status == 200, (status, body)


@when(
    "a caller resumes {count:d} streams with prompts of {prompt:d} tokens after their "
    "first event"
)
def resume_several(context, count, prompt):
    resumed = {names.LAST_EVENT: "1"}
    for number in range(count):
        status, _, body = context.run(
            stream(context, f"call-{number}", prompt, 40, **resumed)
        )
        assert status == 200, (status, body)


@then("the metrics show no prefill rate")
def check_no_rate(context):
    page = context.run(fetch_metrics(context))
    assert 'clementineyoke_pool_prefill_tokens_per_ms{pool="pool"}' not in page, page


@then("the metrics show the prefill rate of the pool")
def check_rate(context):
    page = context.run(fetch_metrics(context))
    rates = [
        float(line.rpartition(" ")[2])
        for line in page.splitlines()
        if line.startswith('clementineyoke_pool_prefill_tokens_per_ms{pool="pool"}')
    ]
    assert rates, page
    assert rates[0] > 0.0, rates


@then(
    "a further call is expected to produce {expected:d} output tokens of at most "
    "{output:d}"
)
def check_expected_output(context, expected, output):
    (runner,) = context.fleet.runners
    runner.event_pause_s = SLOW_EVENT_PAUSE_S

    async def read_reserved():
        call = asyncio.ensure_future(stream(context, "further", 3_000, output))
        count = len(runner.calls)
        while len(runner.calls) == count:
            await asyncio.sleep(0.01)
        page = await fetch_metrics(context)
        await call
        return page

    page = context.run(read_reserved())
    line = f'_reserved_tokens{{runner="runner-0"}} {3_000 + expected}'
    assert line in page, page
