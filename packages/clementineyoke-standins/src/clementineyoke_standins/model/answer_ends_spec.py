"""Model of the check whether an answer without a length is whole.

The runner ends the answer's connection when the answer is whole, or ends as a process,
with all its connections. Another process may take its address over, but not at once.
The node reads the ends of connections at any time after they have arrived, in any
order. It must not take a part of an answer for the whole.
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
    verdict: str = UNDECIDED


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    count_from_arrival: bool = True
    ask_system_for_others: bool = True
    ask_for_listener: bool = True


INITIAL = State()
MUTATIONS = {
    "count from when the end was read": Guards(count_from_arrival=False),
    "take a connection for open until its end is read": Guards(
        ask_system_for_others=False
    ),
    "take an end for that of the answer alone": Guards(ask_for_listener=False),
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
            "whole_only_if_whole": lambda s: s["verdict"] != WHOLE or s["is_whole"],
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
    if state.has_read and state.verdict == UNDECIDED:
        yield "check", state._replace(verdict=_decide(state, guards))


def _runner_steps(state: State) -> Iterator[Step]:
    if state.listener == RUNNER and not state.has_ended:
        yield "end the answer", state._replace(is_whole=True, has_ended=True)
    if state.listener == RUNNER and not state.is_whole:
        yield (
            "end the process",
            state._replace(listener=NOBODY, has_ended=True, other_has_ended=True),
        )
    if state.listener == NOBODY and state.since_end >= RESTART_TIME:
        yield "take the address over", state._replace(listener=SUCCESSOR)


def _decide(state: State, guards: Guards) -> str:
    if guards.ask_for_listener and state.listener == NOBODY:
        return IN_DOUBT
    has_other_ended = (
        state.other_has_ended if guards.ask_system_for_others else state.has_read_other
    )
    if not has_other_ended:
        return WHOLE
    age = state.since_end if guards.count_from_arrival else state.since_read
    return WHOLE if age < RESTART_TIME else IN_DOUBT
