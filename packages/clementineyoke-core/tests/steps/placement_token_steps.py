from __future__ import annotations

from behave import given, then

from clementineyoke_core.placement_token import ChatScope, PlacementTokenCodec
from clementineyoke_core.token_signer import TokenSigner

PLACE = ChatScope("/league/finals", "model", 42)


@given("a token that names {runner_id} for a chat")
def given_token(context, runner_id):
    context.tokens = PlacementTokenCodec(signer=TokenSigner(keys=["key"]))
    context.token = context.tokens.issue(PLACE, runner_id)


@then("the chat's own token names {runner_id}")
def check_own(context, runner_id):
    assert context.tokens.read(PLACE, context.token) == runner_id


@then("for another team, pool or chat it names nothing")
def check_others(context):
    others = [
        PLACE._replace(team_path="/league/other"),
        PLACE._replace(pool="other"),
        PLACE._replace(key=43),
    ]
    assert [context.tokens.read(place, context.token) for place in others] == [None] * 3


@then("with any one character changed it names nothing")
def check_changed(context):
    token = context.token
    for index, character in enumerate(token):
        other = "0" if character != "0" else "1"
        changed = token[:index] + other + token[index + 1 :]
        assert context.tokens.read(PLACE, changed) is None, changed
    for bad in ("", ":", "x" * 500, "engine-7:\u00e9"):
        assert context.tokens.read(PLACE, bad) is None


@then("after the signing key was rotated it still names {runner_id}")
def check_rotated(context, runner_id):
    rotated = PlacementTokenCodec(signer=TokenSigner(keys=["new", "key"]))
    assert rotated.read(PLACE, context.token) == runner_id
