from __future__ import annotations

import json

from behave import given, then, when

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_cli.request_timeline import read_request_timeline


def make_line(second, message, **fields):
    return json.dumps(
        {"time": f"2026-01-01T00:00:{second:02}.000000+00:00", "message": message}
        | fields
    )


@given("the logs of 2 nodes, collected with a prefix and with an incomplete last line")
def given_logs(context):
    one = [
        make_line(1, "routed", request_id="r-1", runner="a", process="node-1"),
        make_line(2, "runner_failed", request_id="r-1", runner="a", process="node-1"),
        make_line(3, "route_refused", request_id="r-1", process="node-1"),
        make_line(3, "routed", request_id="r-2", runner="a", process="node-1"),
    ]
    two = [
        make_line(4, "runner_paused", runner="a", process="node-2"),
        make_line(4, "runner_paused", runner="b", process="node-2"),
        make_line(40, "runner_paused", runner="a", process="node-2"),
        '{"time": "2026-01-01T00:0',
    ]
    context.files = []
    for name, lines in (("one", one), ("two", two)):
        file = context.directory / f"{name}.log"
        file.write_text("".join(f"17.5 host-{name} {line}\n" for line in lines))
        context.files.append(str(file))


@given(
    'the logs of 2 nodes that refuse the copy "{last}" because of "{first}" and '
    '"{second}"'
)
def given_refusing_logs(context, last, first, second):
    digest = {"request_digest": "aa11"}
    one = [
        make_line(1, "runner_failed", request_id=first, runner="a", **digest),
        make_line(9, "request_suspected", runners=["a", "b"], **digest),
        make_line(20, "request_barred", request_id=last, **digest),
        make_line(20, "route_refused", request_id=last),
    ]
    two = [
        make_line(8, "runner_failed", request_id=second, runner="b", **digest),
        make_line(8, "runner_failed", request_id="r-4", request_digest="bb22"),
    ]
    write_logs(context, one=one, two=two)


@given(
    'the logs of 2 nodes that refuse "{last}" because of the part that "{first}" and '
    '"{second}" share'
)
def given_part_logs(context, last, first, second):
    factor = {"part_digest": "cc33"}
    one = [
        make_line(1, "runner_failed", request_id=first, prompt_parts=["5e", "bad"]),
        make_line(9, "request_suspected", runners=["a", "b"], **factor),
        make_line(20, "request_barred", request_id=last, part="bad", **factor),
        make_line(20, "route_refused", request_id=last),
    ]
    two = [
        make_line(8, "runner_failed", request_id=second, prompt_parts=["bad"]),
        make_line(8, "runner_failed", request_id="r-4", prompt_parts=["5e"]),
    ]
    write_logs(context, one=one, two=two)


@given(
    'the logs of 2 nodes in which "{first}" and "{second}" got signals of runners that '
    '"{last}" passed over'
)
def given_signals(context, first, second, last):
    passed_over = {"a": "draining", "b": "backoff"}
    one = [
        make_line(1, "runner_draining", request_id=first, runner="a", status=200),
        make_line(2, "runner_draining", request_id="r-4", runner="d", status=200),
        make_line(30, "runner_backoff", request_id="r-4", runner="b", backoff_ms=3000),
    ]
    two = [
        make_line(9, "runner_backoff", request_id=second, runner="b", backoff_ms=3000),
        make_line(10, "routed", request_id=last, runner="c", passed_over=passed_over),
        make_line(11, "answered", request_id=last),
    ]
    context.files = []
    for name, lines in (("one", one), ("two", two)):
        file = context.directory / f"{name}.log"
        file.write_text("".join(f"{line}\n" for line in lines))
        context.files.append(str(file))


@given(
    'the logs of a node that lost a pool and forwarded "{request_id}", and of its peer'
)
def given_forwarded(context, request_id):
    one = [
        make_line(1, "pool_unreachable", pool="p", process="one"),
        make_line(2, "pool_unreachable", pool="q", process="one"),
        make_line(20, "forwarded", request_id=request_id, pool="p", process="one"),
        make_line(25, "answered", request_id=request_id, process="one"),
    ]
    two = [
        make_line(3, "pool_brittle", pool="p", process="two"),
        make_line(21, "routed", request_id=request_id, pool="p", process="two"),
        make_line(24, "answered", request_id=request_id, process="two"),
        make_line(24, "answered", request_id="r-4", process="two"),
    ]
    write_logs(context, one=one, two=two)


@given(
    'the logs of a node at which "{began}" began a stream, and of one at which'
    ' "{request_id}" resumed it'
)
def given_resumed(context, began, request_id):
    one = [
        make_line(20, "routed", request_id=began, pool="p", process="one"),
        make_line(22, "answer_cut", request_id=began, process="one"),
        make_line(22, "answer_cut", request_id="r-4", process="one"),
    ]
    two = [
        make_line(1, "pool_versions", pool="p", process="two"),
        make_line(
            23, "stream_resumed", request_id=request_id, resumes=began, process="two"
        ),
        make_line(24, "routed", request_id=request_id, pool="p", process="two"),
        make_line(25, "answered", request_id=request_id, process="two"),
    ]
    write_logs(context, one=one, two=two)


def write_logs(context, **logs):
    context.files = []
    for name, lines in logs.items():
        file = context.directory / f"{name}.log"
        file.write_text("".join(f"{line}\n" for line in lines))
        context.files.append(str(file))


@when('the operator runs explain for the request "{request_id}" on these logs')
def run_explain(context, request_id):
    context.timeline = context.error = None
    try:
        context.timeline = read_request_timeline(request_id, context.files)
    except AdminError as error:
        context.error = error


@then('the timeline lists in order "{messages}"')
def check_timeline(context, messages):
    found = [line.split(" ")[2] for line in context.timeline]
    assert found == messages.split(", "), context.timeline


@then('it does not contain the request "{request_id}"')
def check_request_absent(context, request_id):
    assert not [line for line in context.timeline if request_id in line]


@then("the command fails with an error that names the request and the files")
def check_error(context):
    assert "r-9" in str(context.error)
    assert "one.log" in str(context.error)
