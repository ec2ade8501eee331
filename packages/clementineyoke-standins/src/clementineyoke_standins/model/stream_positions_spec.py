"""Model of the position from which runners go on with a caller's stream.

A node reads events from a runner, may leave the runner before it writes them, and asks
the next one for what follows its position. A runner may repeat events, leave some out,
or end before the position. What is written arrives later, or is lost when the node is
killed; the caller then goes on at another node after what it has. Ids are consecutive,
and the nodes know it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

EVENTS = 4
MAX_CHUNK = 2
MAX_RUNS = 3
MAX_KILLS = 1
CHOOSING, READING, WRITING, ENDED = "choosing", "reading", "writing", "ended"


class State(NamedTuple):
    """What the runner, the node and the caller have of the stream."""

    phase: str = CHOOSING
    got: tuple[int, ...] = ()
    """Events that the caller has."""
    wire: tuple[int, ...] = ()
    """Events that were written and have not arrived."""
    unwritten: tuple[int, ...] = ()
    position: int = 0
    """The event after which the next runner is asked to go on."""
    accepted: int = 0
    """The last event that was selected for the caller."""
    resumed_at: int = 0
    sent: int = 0
    """The last event that the present runner has sent, or left out."""
    run_last: int = 0
    """The last event that was read from the present runner."""
    runs: int = 0
    kills: int = 0


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    move_when_written: bool = True
    expect_unwritten_again: bool = True
    refuse_first_gaps: bool = True
    refuse_later_gaps: bool = True
    drop_repeated: bool = True
    refuse_early_ends: bool = True
    resume_after_received: bool = True


INITIAL = State()
MUTATIONS = {
    "the position moves when events are read": Guards(move_when_written=False),
    "unwritten events of the last runner count as repeated": Guards(
        expect_unwritten_again=False
    ),
    "a runner may leave out its first events": Guards(refuse_first_gaps=False),
    "a runner may leave out later events": Guards(refuse_later_gaps=False),
    "repeated events are written": Guards(drop_repeated=False),
    "a runner may end before the position": Guards(refuse_early_ends=False),
    "another node goes on after what was written": Guards(resume_after_received=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="stream_positions",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "each_once_in_order": lambda s: (
                s["got"] == tuple(range(1, len(s["got"]) + 1))
            ),
            "whole_has_all": lambda s: (
                s["phase"] != ENDED or s["wire"] or len(s["got"]) == EVENTS
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if state.wire:
        got = (*state.got, state.wire[0])
        yield "an event arrives", state._replace(got=got, wire=state.wire[1:])
    if state.kills < MAX_KILLS and (state.phase != ENDED or state.wire):
        yield "kill the node", _take_up(state, guards)
    if state.phase == CHOOSING and state.runs < MAX_RUNS:
        for first in sorted({0, state.position}):
            yield f"a runner goes on after {first}", _begin_run(state, first, guards)
    if state.phase == READING:
        yield from _runner_steps(state, guards)
        yield "the runner breaks off", state._replace(phase=CHOOSING)
    if state.phase == WRITING:
        yield "refuse the runner", state._replace(phase=CHOOSING, unwritten=())
        yield "write the events", _write(state)


def _take_up(state: State, guards: Guards) -> State:
    last = state.got[-1] if state.got else 0
    position = last if guards.resume_after_received else state.position
    return State(
        got=state.got,
        position=position,
        accepted=position,
        runs=state.runs,
        kills=state.kills + 1,
    )


def _begin_run(state: State, first: int, guards: Guards) -> State:
    expected = state.position if guards.expect_unwritten_again else state.accepted
    return state._replace(
        phase=READING,
        accepted=expected,
        resumed_at=expected,
        sent=first,
        run_last=first,
        runs=state.runs + 1,
    )


def _runner_steps(state: State, guards: Guards) -> Iterator[Step]:
    for count in range(1, min(MAX_CHUNK, EVENTS - state.sent) + 1):
        yield f"the runner sends {count}", _read(state, count, guards)
    if state.sent < EVENTS:
        yield "the runner leaves out one", state._replace(sent=state.sent + 1)
    if state.sent == EVENTS == state.run_last or state.sent < state.accepted:
        is_early = state.run_last < state.accepted and guards.refuse_early_ends
        phase = CHOOSING if is_early else ENDED
        yield "the runner ends the stream", state._replace(phase=phase)


def _read(state: State, count: int, guards: Guards) -> State:
    sent = state.sent + count
    accepted, unwritten = state.accepted, list(state.unwritten)
    for event in range(state.sent + 1, sent + 1):
        is_first = accepted == state.resumed_at
        refuses = guards.refuse_first_gaps if is_first else guards.refuse_later_gaps
        if refuses and event > accepted + 1:
            return state._replace(phase=CHOOSING)
        if event > accepted or not guards.drop_repeated:
            accepted = event
            unwritten.append(event)
    return state._replace(
        phase=WRITING if unwritten else READING,
        position=state.position if guards.move_when_written else accepted,
        accepted=accepted,
        unwritten=tuple(unwritten),
        sent=sent,
        run_last=sent,
    )


def _write(state: State) -> State:
    return state._replace(
        phase=READING,
        wire=state.wire + state.unwritten,
        position=state.unwritten[-1],
        unwritten=(),
    )
