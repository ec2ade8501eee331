"""Model of streams that move from silent runners to others, on a shared retry budget.

Runners fall silent and go on at any moment, and another runner may refuse a stream. A
node leaves a runner only when a successor has the stream. No stream may be cut while no
runner has broken off, the budget must not be exceeded, and two runners may work on a
stream only for the overlap.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    _To = Callable[..., "State"]

STREAMS = 2
BUDGET = 1
MAX_FLIPS = 3
"""Times that a runner falls silent or goes on."""


class StreamState(NamedTuple):
    """One stream: who has it, and how far its move is."""

    is_silent: bool = False
    """Whether the runner that has the stream is silent."""
    has_checked: bool = False
    """Whether the node has seen a retry left, in a mutation that leaves first."""
    has_slot: bool = False
    has_retry: bool = False
    successor: str = ""
    """State of the attempt at another runner: ``sent`` or ``begun``."""
    overlap: int = 0
    """Time for which two runners have had the stream."""
    is_cut: bool = False


class State(NamedTuple):
    """All streams of a node."""

    streams: tuple[StreamState, ...] = (StreamState(),) * STREAMS
    free_slots: int = STREAMS
    spent: int = 0
    flips: int = 0


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    keep_until_taken: bool = True
    """Whether a runner is left only when its successor has the stream."""
    spend_before_send: bool = True
    drop_on_answer: bool = True
    """Whether the successor is dropped when the runner goes on."""
    bound_overlap: bool = True


INITIAL = State()
MAX_OVERLAP = 1
MUTATIONS = {
    "leave a runner when a retry seems possible": Guards(keep_until_taken=False),
    "send before the retry is charged": Guards(spend_before_send=False),
    "keep the successor of a runner that goes on": Guards(drop_on_answer=False),
    "wait for a successor without end": Guards(bound_overlap=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="failover",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "no_stream_is_cut": lambda s: not any(x.is_cut for x in s["streams"]),
            "budget_is_kept": lambda s: s["spent"] <= BUDGET,
            "overlap_is_bounded": lambda s: all(
                x.overlap <= MAX_OVERLAP for x in s["streams"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    for number, stream in enumerate(state.streams):
        if stream.is_cut:
            continue
        for label, changed in _stream_steps(state, stream, guards):
            streams = (
                *state.streams[:number],
                changed.streams[0],
                *state.streams[number + 1 :],
            )
            yield f"{label} {number}", changed._replace(streams=streams)


def _stream_steps(
    state: State, stream: StreamState, guards: Guards
) -> Iterator[tuple[str, State]]:
    """Yield steps of one stream; the next states hold this stream alone."""

    def to(new: StreamState, **changes: int) -> State:
        return state._replace(streams=(new,), **changes)

    if state.flips < MAX_FLIPS:
        flips = state.flips + 1
        if not stream.is_silent:
            yield "fall_silent", to(stream._replace(is_silent=True), flips=flips)
        elif stream.successor and not guards.drop_on_answer:
            yield "go_on", to(stream._replace(is_silent=False), flips=flips)
        else:
            slots = state.free_slots + stream.has_slot
            yield "go_on", to(StreamState(), flips=flips, free_slots=slots)
    if stream.successor:
        yield from _overlap_steps(state, stream, guards, to)
    elif stream.is_silent:
        yield from _search_steps(state, stream, guards, to)


def _search_steps(
    state: State, stream: StreamState, guards: Guards, to: _To
) -> Iterator[tuple[str, State]]:
    if not guards.keep_until_taken:
        if not stream.has_checked and state.spent < BUDGET:
            yield "check", to(stream._replace(has_checked=True))
        elif stream.has_checked and state.spent < BUDGET:
            yield "leave", to(StreamState(), spent=state.spent + 1)
        elif stream.has_checked:
            yield "leave", to(stream._replace(is_cut=True))
        return
    if not stream.has_slot:
        if state.free_slots:
            slots = state.free_slots - 1
            yield "take_slot", to(stream._replace(has_slot=True), free_slots=slots)
    elif not guards.spend_before_send and state.spent <= BUDGET:
        sent = stream._replace(successor="sent")
        yield "send", to(sent, spent=state.spent + 1)
    elif not stream.has_retry:
        if state.spent < BUDGET:
            paid = stream._replace(has_retry=True)
            yield "spend", to(paid, spent=state.spent + 1)
        else:
            slots = state.free_slots + 1
            yield "return_slot", to(stream._replace(has_slot=False), free_slots=slots)
    else:
        yield "send", to(stream._replace(successor="sent"))


def _overlap_steps(
    state: State, stream: StreamState, guards: Guards, to: _To
) -> Iterator[tuple[str, State]]:
    slots = state.free_slots + 1
    if stream.successor == "sent":
        refused = StreamState(is_silent=stream.is_silent, overlap=0)
        yield "refuse", to(refused, free_slots=slots)
        yield "begin", to(stream._replace(successor="begun"))
        if stream.overlap < MAX_OVERLAP or not guards.bound_overlap:
            yield "tick", to(stream._replace(overlap=min(2, stream.overlap + 1)))
    elif not stream.is_silent:
        yield "tick", to(stream._replace(overlap=min(2, stream.overlap + 1)))
    if stream.is_silent and (stream.successor == "begun" or stream.overlap):
        yield "move", to(StreamState(), free_slots=slots)
