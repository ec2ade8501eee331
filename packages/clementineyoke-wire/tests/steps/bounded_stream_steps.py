from __future__ import annotations

import json
import os
import threading

from behave import given, then, when

from clementineyoke_wire.bounded_stream import BoundedStream


@given("a log pipe that nobody reads")
def given_pipe(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    # No bound on the rate: what is dropped is dropped for the full pipe.
    context.stream = BoundedStream(descriptor=writer, lines_per_s=1e9, most_saved=1e9)


@given("a log pipe that is read all the time")
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


@then("logging has not waited")
def check_not_waited(context):
    # A write that waited for a reader would never have come back.
    assert context.stream.dropped > 0


@then("the lines that did not fit are counted when the pipe is read again")
def check_counted(context):
    dropped = context.stream.dropped
    written = os.read(context.reader, 1_000_000).count(b"\n")
    assert written + dropped == context.count
    context.stream.write_line("after")
    count, line = os.read(context.reader, 1_000).decode().splitlines()
    assert json.loads(count)["lines"] == dropped
    assert line == "after"


@then("at most {most:d} lines were written")
def check_written(context, most):
    os.close(context.writer)
    context.thread.join()
    assert b"".join(context.chunks).count(b"\n") <= most
