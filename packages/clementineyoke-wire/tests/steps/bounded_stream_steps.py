from __future__ import annotations

import json
import os
import threading

from behave import given, then, when

from clementineyoke_wire.bounded_stream import BoundedStream


@given("a log pipe without a reader")
def given_unread_pipe(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    # The rate is unlimited, so that lines are only dropped because the pipe is full.
    context.stream = BoundedStream(
        descriptor=writer, max_lines_per_s=1e9, max_burst_lines=1e9
    )


@given("a log pipe with a continuous reader")
def given_read_pipe(context):
    reader, writer = os.pipe()
    context.chunks = []

    def read():
        while chunk := os.read(reader, 65_536):
            context.chunks.append(chunk)

    context.thread = threading.Thread(target=read)
    context.thread.start()
    context.writer = writer
    context.stream = BoundedStream(descriptor=writer)


@when("{count:d} lines of {size:d} bytes are logged at once")
def log_lines(context, count, size):
    context.count = count
    for _ in range(count):
        context.stream.write_line("x" * (size - 1))


@then("logging does not block")
def check_not_blocked(context):
    # A blocking write would never have returned, since the pipe has no reader.
    assert context.stream.dropped > 0


@then("the dropped lines are reported once the pipe is read again")
def check_dropped_count(context):
    dropped = context.stream.dropped
    written = os.read(context.reader, 1_000_000).count(b"\n")
    assert written + dropped == context.count
    context.stream.write_line("after")
    count, line = os.read(context.reader, 1_000).decode().splitlines()
    assert json.loads(count)["lines"] == dropped
    assert line == "after"


@then("at most {max_lines:d} lines are written")
def check_written(context, max_lines):
    os.close(context.writer)
    context.thread.join()
    assert b"".join(context.chunks).count(b"\n") <= max_lines


@when("{count:d} lines of {size:d} bytes are logged at once, every {nth:d}th a warning")
def log_warnings(context, count, size, nth):
    for number in range(count):
        is_warning = not number % nth
        line = f"{'warning' if is_warning else 'info'} {number} ".ljust(size - 1, "x")
        context.stream.write_line(line, is_important=is_warning)


@when("the log pipe is read and another line is logged")
def read_and_log(context):
    context.lines = os.read(context.reader, 1_000_000).decode().splitlines()
    context.stream.write_line("after")
    context.lines += os.read(context.reader, 1_000_000).decode().splitlines()


@then("all {count:d} warnings are written in their order")
def check_warnings(context, count):
    numbers = [int(n.split()[1]) for n in context.lines if n.startswith("warning")]
    assert numbers == [100 * n for n in range(count)], numbers
