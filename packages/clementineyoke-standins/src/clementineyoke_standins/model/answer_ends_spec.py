"""Model of the check whether an answer without a length is whole.

The runner ends the answer's connection when the answer is whole, or ends as a process,
with all its connections. Another process may take its address over, but not at once
unless restarts are fast. The node reads the ends of connections at any time after they
have arrived, in any order, and learns that the runner's lifetime is over; a living
runner may refuse a connection as well. The node must not take a part of an answer for
the whole if it could know better, nor cut a whole one for what its runner has outlived.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

RUNNER, NOBODY, SUCCESSOR = "runner", "nobody", "successor"
RESTART_TIME = 1
"""Least time in which another process takes over an address."""
MAX_TIME = 2
UNDECIDED, WHOLE, IN_DOUBT = "undecided", "whole", "in doubt"
KNOWN_OVER = "known over"


class State(NamedTuple):
    """Who listens, which ends have arrived and were read, and the verdict."""

    listener: str = RUNNER
    is_whole: bool = False
    """Whether the runner has sent the whole answer."""
    has_ended: bool = False
    """Whether the end of the answer's connection has arrived."""
    other_has_ended: bool = False
    """Whether that of another connection, from before, has arrived."""
    since_end: int = 0
    since_read: int = 0
    has_read: bool = False
    has_read_other: bool = False
    has_other: bool = False
    """Whether another connection was opened before the end."""
    is_restart_fast: bool = False
    was_refused_before: bool = False
    """Whether evidence of the runner's end came before the end of the answer."""
    knows_end: bool = False
    """Whether such evidence has come since."""
    verdict: str = UNDECIDED


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    count_from_arrival: bool = True
    ask_system_for_others: bool = True
    ask_for_listener: bool = True
    ask_for_lifetimes: bool = True
    judge_evidence_by_time: bool = True


INITIAL = State()
MUTATIONS = {
    "count from when the end was read": Guards(count_from_arrival=False),
    "take a connection for open until its end is read": Guards(
        ask_system_for_others=False
    ),
    "take an end for that of the answer alone": Guards(ask_for_listener=False),
    "do not ask whether the lifetime is known to be over": Guards(
        ask_for_lifetimes=False
    ),
    "take evidence that the connection has outlived": Guards(
        judge_evidence_by_time=False
    ),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="answer_ends",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "whole_only_if_whole": lambda s: (
                s["verdict"] != WHOLE
                or s["is_whole"]
                or (s["is_restart_fast"] and not s["knows_end"])
            ),
            "known_over_only_if_over": lambda s: (
                s["verdict"] != KNOWN_OVER or not s["is_whole"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    yield from _runner_steps(state)
    if state.has_ended and state.since_end < MAX_TIME:
        yield (
            "time passes",
            state._replace(
                since_end=state.since_end + 1,
                since_read=state.since_read + state.has_read,
            ),
        )
    if state.has_ended and not state.has_read:
        yield "read the end", state._replace(has_read=True)
    if state.other_has_ended and not state.has_read_other:
        yield "read the other end", state._replace(has_read_other=True)
    if state.listener != RUNNER and not state.knows_end and state.verdict == UNDECIDED:
        yield "learn of the end", state._replace(knows_end=True)
    if state.has_read and state.verdict == UNDECIDED:
        yield "check", state._replace(verdict=_decide(state, guards))


def _runner_steps(state: State) -> Iterator[Step]:
    if state.listener == RUNNER and not state.has_ended:
        yield "end the answer", state._replace(is_whole=True, has_ended=True)
    if state == INITIAL:
        yield "restarts are fast", state._replace(is_restart_fast=True)
    if state.listener == RUNNER and not state.has_ended:
        yield "open another connection", state._replace(has_other=True)
        yield "refuse a connection", state._replace(was_refused_before=True)
    if state.listener == RUNNER and not state.is_whole:
        yield (
            "end the process",
            state._replace(
                listener=NOBODY, has_ended=True, other_has_ended=state.has_other
            ),
        )
    if state.listener == NOBODY and (
        state.since_end >= RESTART_TIME or state.is_restart_fast
    ):
        yield "take the address over", state._replace(listener=SUCCESSOR)


def _decide(state: State, guards: Guards) -> str:
    if guards.ask_for_listener and state.listener == NOBODY:
        return IN_DOUBT
    has_other_ended = (
        state.other_has_ended if guards.ask_system_for_others else state.has_read_other
    )
    if state.has_other and not has_other_ended:
        return WHOLE
    if guards.ask_for_lifetimes and _is_known_over(state, guards):
        return KNOWN_OVER
    age = state.since_end if guards.count_from_arrival else state.since_read
    return WHOLE if age < RESTART_TIME else IN_DOUBT


def _is_known_over(state: State, guards: Guards) -> bool:
    is_outlived = guards.judge_evidence_by_time
    return state.knows_end or (state.was_refused_before and not is_outlived)
