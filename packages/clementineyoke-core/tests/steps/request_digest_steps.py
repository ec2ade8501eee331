from __future__ import annotations

from behave import given, then

from clementineyoke_core.edge.request_digest import request_digest


def mark(method, target, team, body):
    return request_digest(team=team, method=method, target=target, body=body.encode())


@given('the mark of a "{method}" of "{target}" by "{team}" with the body "{body}"')
def given_mark(context, method, target, team, body):
    context.mark = mark(method, target, team, body)


@then('a "{method}" of "{target}" by "{team}" with the body "{body}" has the same mark')
def check_same(context, method, target, team, body):
    assert mark(method, target, team, body) == context.mark


@then('a "{method}" of "{target}" by "{team}" with the body "{body}" has another mark')
def check_another(context, method, target, team, body):
    assert mark(method, target, team, body) != context.mark
