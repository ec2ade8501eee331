from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.streams.stream_sequence import (
    StreamGapError,
    StreamSequence,
)


@given("a stream whose events {first:d} and {second:d} were written")
def given_written(context, first, second):
    context.sequence = StreamSequence(last_event_id=None)
    context.sequence.begin_run()
    read(context, first, second)
    context.sequence.record_written((first, second))


@when("a run's events {first:d} and {second:d} are read and not written")
def read_run(context, first, second):
    context.sequence.begin_run()
    read(context, first, second)


def read(context, *event_ids):
    for event_id in event_ids:
        assert context.sequence.accept(event_id), event_id


@then("the last event that the caller has is {event_id:d}")
def check_position(context, event_id):
    assert context.sequence.last_event_id == event_id, context.sequence.last_event_id


@then(
    "a run that goes on at event {refused:d} is refused, and one at event {taken:d} is"
    " not"
)
def check_gap(context, refused, taken):
    assert is_refused(context.sequence, refused)
    assert not is_refused(context.sequence, taken)


def is_refused(sequence, event_id):
    sequence.begin_run()
    try:
        sequence.accept(event_id)
    except StreamGapError:
        return True
    return False
