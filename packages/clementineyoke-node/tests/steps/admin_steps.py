from __future__ import annotations

from behave import then, when
from one_node import OPERATOR_KEY


def get(context, path):
    async def call():
        url = context.fleet.admin_url + path
        bearer = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with context.fleet.session.get(url, headers=bearer) as answer:
            assert answer.status == 200, await answer.text()
            if "json" in answer.content_type:
                return await answer.json()
            return await answer.text()

    return context.run(call())


@when('the chat "{chat_id}" is sent twice')
def send_twice(context, chat_id):
    context.chat_id = chat_id
    for _ in range(2):
        context.answer = context.run(context.fleet.chat(X_Chat_Id=chat_id))
        assert context.answer[0] == 200


@when('every engine drains and the chat "{chat_id}" is refused')
def refuse(context, chat_id):
    context.chat_id = chat_id
    for engine in context.fleet.engines:
        engine.faults.draining = True
    for _ in range(2):
        context.answer = context.run(context.fleet.chat(X_Chat_Id=chat_id))
    assert context.answer[0] == 503


@then("its chat id explains the refusal with one decision")
def check_refusal(context):
    request_id = context.answer[1]["X-Request-Id"]
    found = get(context, f"/admin/explain?id={context.chat_id}")["decisions"]
    mine = [d for d in found if d["request_id"] == request_id]
    assert [d["event"] for d in mine] == ["route_refused"], mine
    assert mine[0]["fields"]["step"] == "acquire_slot"


@then("its request id and its chat id explain where it went and why")
def check_explained(context):
    headers = context.answer[1]
    by_chat = get(context, f"/admin/explain?id={context.chat_id}")["decisions"]
    assert [decision["event"] for decision in by_chat] == ["routed", "routed"]
    request_id = headers["X-Request-Id"]
    by_request = get(context, f"/admin/explain?id={request_id}")["decisions"]
    assert [decision["event"] for decision in by_request] == ["routed", "answered"]
    fields = by_request[0]["fields"]
    assert fields["runner"] == headers["X-Runner"]
    assert (fields["reason"], fields["rank"]) == ("affinity", 0)


@then("the status names nodes, runners with state and home, and the version")
def check_status(context):
    status = get(context, "/admin/status")
    assert status["nodes"] == {"node-1": "alive"}
    assert status["settings_version"] == 1
    assert len(status["runners"]) == 3
    for runner in status["runners"].values():
        assert (runner["state"], runner["home"]) == ("ready", "node-1")


@then("the metrics count {count:d} requests that ran and name every runner's slots")
def check_metrics(context, count):
    context.run(context.fleet.node._copy_metrics())
    text = get(context, "/metrics")
    assert f'clementineyoke_requests_total{{outcome="ran"}} {count}' in text, text
    for runner in ("engine-0", "engine-1", "service-0"):
        assert f'clementineyoke_runner_slots_in_use{{runner="{runner}"}} 0' in text
    assert "clementineyoke_settings_version 1" in text
