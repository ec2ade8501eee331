from __future__ import annotations

import asyncio

import aiohttp
from behave import given, then, when
from edge_fleet import EdgeFleet, make_route
from edge_steps import wait_until
from process_fleet import ProcessFleet

from clementineyoke_standins.edge.edge_runner import EVENTS, ScriptedResponse
from clementineyoke_standins.edge.raw_answers import encode_event, encode_raw_head

UNRESUMABLE = {"name": "unresumable", "pathPrefix": "/unresumable/"}
PROBE = {"name": "probe", "pathPrefix": "/probe/"}
PLAIN = ("/idempotent/", "/non_idempotent/")
KINDS = ("idempotent", "non_idempotent", "streaming", "unresumable")
BUDGET = {"headers": {"X-Deadline-Ms": "10000"}}
ARRIVALS_S = (0.05, 0.4, 0.8, 1.0, 1.2)
EXIT_TIMEOUT_S = 6
LAST_EVENT = encode_event(EVENTS).decode()


def start(context, fleet, *, work_s, max_runners):
    context.run(fleet.__aenter__())
    context.fleet = fleet
    context.add_cleanup(lambda: context.run(fleet.__aexit__(None, None, None)))
    for runner in fleet.runners:
        runner.fallback_response = ScriptedResponse.STREAM
        runner.slow_delay_s = work_s
        runner.event_pause_s = work_s / EVENTS
        runner.responses_by_prefix = dict.fromkeys(PLAIN, ScriptedResponse.SLOW)
        runner.responses_by_prefix["/probe/"] = ScriptedResponse.OK
    context.run(put_routes(fleet, max_runners))


async def put_routes(fleet, max_runners):
    limits = {"runners": max_runners, "timeoutMs": 10_000, "targetLatencyMs": 5_000}
    await fleet.put_state(
        make_route("idempotent", **limits),
        make_route("non_idempotent", **limits),
        make_route("streaming", resumable=True, **limits),
        make_route("streaming", **limits, **UNRESUMABLE),
        make_route("idempotent", **PROBE),
    )
    async with asyncio.timeout(5):
        for number in range(len(fleet.nodes)):
            while (await fleet.call("probe", number=number))[0] == 404:
                await asyncio.sleep(0.05)


@given("2 node processes that have {grace_s:d} s to leave, and work of {work_s:g} s")
def given_processes(context, grace_s, work_s):
    settings = {"stop_deadline_s": grace_s, "linger_ms": 1_300, "cap_factor": 50}
    fleet = ProcessFleet(nodes=2, runners=3, slots=64, settings=settings)
    start(context, fleet, work_s=work_s, max_runners=1)


@given("a node that has {grace_s:d} s to leave, and work of {work_s:d} s")
def given_node(context, grace_s, work_s):
    settings = {"stop_deadline_s": grace_s, "cap_factor": 50}
    fleet = EdgeFleet(nodes=1, runners=2, settings=settings)
    start(context, fleet, work_s=work_s, max_runners=2)


@given("node 0 has answered {count:d} calls of each kind")
def given_answers(context, count):
    async def act():
        session = context.fleet.concurrent_session
        calls = [
            context.fleet.call(kind, call_id=f"{kind}-{n}", session=session, **BUDGET)
            for kind in KINDS
            for n in range(count)
        ]
        return await asyncio.gather(*calls)

    statuses = [status for status, _, _ in context.run(act())]
    assert statuses == [200] * len(statuses), statuses


@when(
    "callers with a budget of {budget_s:g} s call node 0 until its linger of 1.3 s is"
    " over"
)
def call_late(context, budget_s):
    fleet = context.fleet
    headers = {"X-Deadline-Ms": str(round(1_000 * budget_s))}

    async def call(kind, arrival_s, stop, *, is_kept):
        call_id = f"late-{kind}-{arrival_s}-{is_kept}"
        async with aiohttp.ClientSession() as session:
            if is_kept:
                await fleet.call("nowhere", call_id="keep", session=session)
            await stop.wait()
            await asyncio.sleep(arrival_s)
            try:
                return call_id, await fleet.call(
                    kind, call_id=call_id, session=session, headers=headers
                )
            except aiohttp.ClientError as error:
                return call_id, (0, {}, repr(error))

    async def act():
        stop = asyncio.Event()
        calls = [
            asyncio.ensure_future(call(kind, arrival_s, stop, is_kept=is_kept))
            for kind in KINDS
            for arrival_s in ARRIVALS_S
            for is_kept in (False, True)
        ]
        await asyncio.sleep(0.2)
        stop.set()
        await fleet.nodes[0].stop(timeout_s=EXIT_TIMEOUT_S)
        return dict(await asyncio.gather(*calls))

    context.answers = context.run(act())


def is_whole(call_id, status, body):
    return status == 200 and (body.endswith((f"answer to {call_id}", LAST_EVENT)))


def is_refused(status, headers):
    return status == 503 and headers["Connection"] == "close" and headers["Retry-After"]


@then("each call got a whole answer, or was refused unsent and told to go elsewhere")
def check_ends(context):
    received = {call.call_id for call in context.fleet.calls()}
    lost = {
        call_id: (status, body)
        for call_id, (status, headers, body) in context.answers.items()
        if not is_whole(call_id, status, body)
        and (call_id in received or not is_refused(status, headers))
    }
    assert not lost, (len(lost), lost)


@then("{share} of the calls were refused")
def check_refused(context, share):
    answers = context.answers.values()
    count = sum(status == 503 for status, _, _ in answers)
    is_met = {"none": not count, "some": count, "all": count == len(answers)}
    assert is_met[share], count


@when(
    "the runner of a non-idempotent call refuses it {delay_s:d} s after the node was"
    " told to stop"
)
def refuse_late(context, delay_s):
    async def refuse(call):
        await asyncio.sleep(delay_s)
        fields = {"X_Not_Executed": "1", "Content_Length": "0"}
        yield encode_raw_head(call, "503 Busy", **fields)

    async def act():
        fleet = context.fleet
        for runner in fleet.runners:
            runner.calls.clear()
            runner.raw_answer = refuse
        call = asyncio.ensure_future(fleet.call("non_idempotent", **BUDGET))
        await wait_until(fleet.calls, 1)
        for runner in fleet.runners:
            runner.raw_answer = None
        fleet.nodes[0].request_stop()
        context.answer = await call

    context.run(act())


@then("its caller gets 503 as it is sent to no other runner")
def check_not_sent(context):
    assert context.answer[0] == 503, context.answer
    assert len(context.fleet.calls()) == 1, context.fleet.calls()
