from __future__ import annotations

from behave import then, when
from edge_steps import make_directory, make_runner

from clementineyoke_core.edge.runner_directory import DirectoryView


def draining(directory):
    return {r.runner.runner_id for r in directory.records() if r.is_leaving}


@when("a response of {name} signals that it is draining")
def signal_draining(context, name):
    context.changes = context.directory.record_draining(make_runner(name))


@when("lifetime {started:d} of {name} signals in a response that it is draining")
def signal_draining_of(context, started, name):
    context.directory.record_draining(make_runner(name, born_ms=started))


@when("this is reported to a new node")
def report_to_new_node(context):
    context.new_directory = make_directory()
    context.new_directory.replace(DirectoryView(10, tuple(context.old)), now_ms=0.0)
    assert context.new_directory.apply(context.changes, now_ms=0.0)


@then("{name} is draining and {other} is not")
def check_draining(context, name, other):
    assert draining(context.directory) == {name}, draining(context.directory)
    known = {record.runner.runner_id for record in context.directory.records()}
    assert other in known, known


@then("the new node knows that {name} is draining")
def check_new_node(context, name):
    assert draining(context.new_directory) == {name}, draining(context.new_directory)
