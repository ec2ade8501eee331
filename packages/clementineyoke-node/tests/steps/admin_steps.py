from __future__ import annotations

from behave import then, when
from one_node import OPERATOR_KEY


def get(context, path):
    async def call():
        url = context.fleet.admin_url + path
        auth_headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with context.fleet.session.get(url, headers=auth_headers) as response:
            assert response.status == 200, await response.text()
            if "json" in response.content_type:
                return await response.json()
            return await response.text()

    return context.run(call())


@when('the chat "{chat_id}" is sent twice')
def send_twice(context, chat_id):
    context.chat_id = chat_id
    for _ in range(2):
        context.response = context.run(context.fleet.chat(X_Chat_Id=chat_id))
        assert context.response[0] == 200


@when('all engines drain and the chat "{chat_id}" is refused')
def refuse(context, chat_id):
    context.chat_id = chat_id
    for engine in context.fleet.engines:
        engine.faults.draining = True
    for _ in range(2):
        context.response = context.run(context.fleet.chat(X_Chat_Id=chat_id))
    assert context.response[0] == 503


@then("its chat id returns exactly one decision for the refusal")
def check_refusal(context):
    request_id = context.response[1]["X-Request-Id"]
    decisions = get(context, f"/admin/explain?id={context.chat_id}")["decisions"]
    refusals = [
        decision for decision in decisions if decision["request_id"] == request_id
    ]
    assert [decision["event"] for decision in refusals] == ["route_refused"], refusals
    assert refusals[0]["fields"]["step"] == "acquire_slot"


@then("its request id and its chat id return the routing decisions and reasons")
def check_explained(context):
    headers = context.response[1]
    by_chat = get(context, f"/admin/explain?id={context.chat_id}")["decisions"]
    assert [decision["event"] for decision in by_chat] == ["routed", "routed"]
    request_id = headers["X-Request-Id"]
    by_request = get(context, f"/admin/explain?id={request_id}")["decisions"]
    assert [decision["event"] for decision in by_request] == ["routed", "answered"]
    fields = by_request[0]["fields"]
    assert fields["runner"] == headers["X-Runner"]
    assert (fields["reason"], fields["rank"]) == ("affinity", 0)


@then("the status lists nodes, runners with state and home node, and the version")
def check_status(context):
    status = get(context, "/admin/status")
    assert status["nodes"] == {"node-1": "alive"}
    assert status["settings_version"] == 1
    assert len(status["runners"]) == 3
    for runner in status["runners"].values():
        assert (runner["state"], runner["home"]) == ("ready", "node-1")


@then(
    "the metrics count {count:d} requests that ran and list the slots of every runner"
)
def check_metrics(context, count):
    context.run(context.fleet.node._copy_metrics())
    text = get(context, "/metrics")
    assert f'clementineyoke_requests_total{{outcome="ran"}} {count}' in text, text
    for runner in ("engine-0", "engine-1", "service-0"):
        assert f'clementineyoke_runner_slots_in_use{{runner="{runner}"}} 0' in text
    assert "clementineyoke_settings_version 1" in text
