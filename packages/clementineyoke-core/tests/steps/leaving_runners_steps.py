from __future__ import annotations

from behave import then, when
from edge_steps import make_directory, make_runner

from clementineyoke_core.edge.runner_directory import DirectoryView


def leaving(directory):
    return {r.runner.runner_id for r in directory.records() if r.is_leaving}


@when("an answer of {name} says that it leaves")
def say_leaving(context, name):
    context.news = context.directory.record_leaving(make_runner(name))


@when("the lifetime {born:d} of {name} answers that it leaves")
def say_leaving_born(context, born, name):
    context.directory.record_leaving(make_runner(name, born_ms=born))


@when("that is told to a new node")
def tell_new_node(context):
    context.new_directory = make_directory()
    context.new_directory.replace(DirectoryView(10, tuple(context.old)), now_ms=0.0)
    assert context.new_directory.apply(context.news, now_ms=0.0)


@then("{name} is leaving and {other} is not")
def check_leaving(context, name, other):
    assert leaving(context.directory) == {name}, leaving(context.directory)
    known = {record.runner.runner_id for record in context.directory.records()}
    assert other in known, known


@then("the new node knows that {name} is leaving")
def check_new_node(context, name):
    assert leaving(context.new_directory) == {name}, leaving(context.new_directory)
