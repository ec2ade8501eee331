from __future__ import annotations

from behave import given, then

from clementineyoke_core.edge.request_digest import request_digest


def make_digest(method, target, team, body):
    return request_digest(team=team, method=method, target=target, body=body.encode())


@given('the digest of a "{method}" of "{target}" by "{team}" with the body "{body}"')
def given_digest(context, method, target, team, body):
    context.digest = make_digest(method, target, team, body)


@then(
    'a "{method}" of "{target}" by "{team}" with the body "{body}" has the same digest'
)
def check_same(context, method, target, team, body):
    assert make_digest(method, target, team, body) == context.digest


@then(
    'a "{method}" of "{target}" by "{team}" with the body "{body}" has another digest'
)
def check_another(context, method, target, team, body):
    assert make_digest(method, target, team, body) != context.digest
