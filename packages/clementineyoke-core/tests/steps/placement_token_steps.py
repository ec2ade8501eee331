from __future__ import annotations

from behave import given, then

from clementineyoke_core.placement_token import ChatScope, PlacementTokenCodec
from clementineyoke_core.token_signer import TokenSigner

CHAT = ChatScope("/league/finals", "model", 42)


@given("a token that names {runner_id} for a chat")
def given_token(context, runner_id):
    context.codec = PlacementTokenCodec(signer=TokenSigner(keys=["key"]))
    context.token = context.codec.issue(CHAT, runner_id)


@then("the token is read as {runner_id} for that chat")
def check_own(context, runner_id):
    assert context.codec.read(CHAT, context.token) == runner_id


@then("for another team, pool or chat it is invalid")
def check_others(context):
    others = [
        CHAT._replace(team_path="/league/other"),
        CHAT._replace(pool="other"),
        CHAT._replace(key=43),
    ]
    assert [context.codec.read(chat, context.token) for chat in others] == [None] * 3


@then("with any one character changed it is invalid")
def check_changed(context):
    token = context.token
    for index, character in enumerate(token):
        other = "0" if character != "0" else "1"
        changed = token[:index] + other + token[index + 1 :]
        assert context.codec.read(CHAT, changed) is None, changed
    for bad in ("", ":", "x" * 500, "engine-7:\u00e9"):
        assert context.codec.read(CHAT, bad) is None


@then("after the signing key was rotated it is still read as {runner_id}")
def check_rotated(context, runner_id):
    rotated = PlacementTokenCodec(signer=TokenSigner(keys=["new", "key"]))
    assert rotated.read(CHAT, context.token) == runner_id
