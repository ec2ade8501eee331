from __future__ import annotations

import msgspec
from behave import given, then
from multidict import CIMultiDict, CIMultiDictProxy

from clementineyoke_node.config.edge_config import EdgeConfig
from clementineyoke_node.platform import names
from clementineyoke_node.platform.call_decoder import decode_call
from clementineyoke_node.platform.state_decoder import decode_state

ADDRESS_FIELDS = ("front", "ready", "directory", "control", "store")
TEXT_FIELDS = ("node_id", "address", "availability_zone", "region")
NUMBER_FIELDS = (
    "heartbeat_ms",
    "retry_ratio",
    "retry_allowance",
    "retry_window_s",
    "cap_factor",
    "apply_within_ms",
    "drain_within_ms",
    "stop_deadline_s",
    "longest_keep_s",
)


def make_settings():
    document = dict.fromkeys(ADDRESS_FIELDS, "127.0.0.1:1")
    document |= dict.fromkeys(TEXT_FIELDS, "a")
    document |= dict.fromkeys(NUMBER_FIELDS, 1.0)
    return document | {"peer_port": 1, "seeds": [], "peer_keys": ["key"]}


@given('the rule sets "{contracts}" and priority_admission {setting}')
def given_settings(context, contracts, setting):
    document = make_settings()
    document["contracts"] = contracts.split(",")
    if setting != "unset":
        document["priority_admission"] = setting == "true"
    context.edge_config = msgspec.convert(document, EdgeConfig)


@then("admission by priority is {state}")
def check_state(context, state):
    features = context.edge_config.overload_features
    assert features.priority_admission is (state == "on")


@given('a call with the token counts "{header}"')
def given_call(context, header):
    fields = CIMultiDict({names.CALL_ID: "id", names.TOKEN_COUNTS: header})
    context.call = decode_call(
        method="POST", target="/a/", fields=CIMultiDictProxy(fields), body=b""
    )


@then("its maximum output is {tokens:d} tokens")
def check_output(context, tokens):
    assert context.call.max_output_tokens == tokens


@given(
    'a desired state whose routes to pool "{pool}" have the priorities '
    "{first:d}, {second:d} and {third:d}"
)
def given_state(context, pool, first, second, third):
    routes = [
        {
            "name": f"route-{n}",
            "hostname": "host",
            "pathPrefix": f"/{n}/",
            "kind": "idempotent",
            "timeoutMs": 1000,
            "priority": priority,
            "service": pool,
        }
        for n, priority in enumerate((first, second, third))
    ]
    services = [{"name": pool, "engine": {"kvCapacityTokens": 5000}}]
    document = {"version": 1, "routes": routes, "services": services}
    context.state = decode_state(msgspec.json.encode(document), revision=1)


@then('the pool "{pool}" has the priorities {first:d} and {second:d}')
def check_priorities(context, pool, first, second):
    classes = ((first, first), (second, second))
    assert context.state.priority_classes() == {pool: classes}


@then('engines of the pool "{pool}" hold {tokens:d} tokens')
def check_memory(context, pool, tokens):
    limits = {limits.pool: limits for limits in context.state.pools}
    assert limits[pool].memory_tokens == tokens
