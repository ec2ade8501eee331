"""Model of a runner that starts again under its id at another version.

One runner ends and comes back under its id and address at the old or another version,
beside a second one that keeps the old version. Two nodes read its new entry late, and
may start again while they cannot read it. Messages between them may be lost. A caller
begins a stream at one of them and resumes it at either.

What the model takes for granted: the runner stays down until a node has tried a
connection and a message about that has arrived, if it is repeated; and a runner that is
back writes its entry before the time is over after which a doubt ends. A call and its
record are one step.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = 2
V1, V2 = 1, 2
AMBIGUOUS = -1
REFUSED = -1

_T = TypeVar("_T")


class State(NamedTuple):
    """The runner, what each node knows of it, and the stream."""

    runner: int = V1
    """Version of the runner that restarts; 0 while it is down."""
    entry: int = V1
    """Version in its entry."""
    listed: tuple[int, ...] = (V1,) * NODES
    """Version in its entry as each node has read it."""
    has_doubt: tuple[bool, ...] = (False,) * NODES
    was_told: tuple[bool, ...] = (False,) * NODES
    """Whether each node has found out or was told that the runner is down."""
    has_accepted: tuple[bool, ...] = (False,) * NODES
    """Whether each node knows of an accepted connection since the last refused one."""
    is_sent: bool = False
    """Whether a message about this end was sent."""
    began: int = 0
    """Version of the first event; 0 for none."""
    recorded: int = 0
    """Version that the nodes have recorded for the stream."""
    resumed: int = 0
    """Version at which it went on; -1 if it was refused."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    tell_others: bool = True
    record_doubt: bool = True
    avoid_in_doubt: bool = True
    settle: bool = True
    """Whether a doubt ends only after the time for a new entry."""
    await_accepted: bool = True
    """Whether that time begins once the runner accepts connections."""
    void_accepted: bool = True
    """Whether a refused connection voids one that was accepted before."""
    repeat: bool = True
    """Whether the message about an end is repeated while the runner is down."""
    hand_over: bool = True
    """Whether a node that starts gets the doubts along with the list of runners."""


INITIAL = State()
MUTATIONS = {
    "tell no other node of the end": Guards(tell_others=False),
    "record the version of the entry in doubt": Guards(record_doubt=False),
    "go on at a runner in doubt": Guards(avoid_in_doubt=False),
    "end the doubt at the next answer of the store": Guards(settle=False),
    "end the doubt while the runner is down": Guards(await_accepted=False),
    "keep an accepted connection after a refused one": Guards(void_accepted=False),
    "send the message about an end once": Guards(repeat=False),
    "start with the list of a peer without its doubts": Guards(hand_over=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="runner_restarts",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "goes_on_at_its_version": lambda s: s["resumed"] in (0, REFUSED, s["began"])
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    if state.resumed:
        return
    if state.runner == V1:
        untold = (False,) * NODES
        yield "end", state._replace(runner=0, was_told=untold, is_sent=False)
    is_over = state.is_sent and not guards.repeat
    if state.runner == 0 and (all(state.was_told) or is_over):
        yield "start again", state._replace(runner=V2)
        yield "live on", state._replace(runner=V1)
    if state.runner == V2 and state.entry == V1:
        yield "write entry", state._replace(entry=V2)
    for node in range(NODES):
        yield from _node_steps(state, node, guards)
        yield from _stream_steps(state, node, guards)


def _node_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    everyone = tuple(range(NODES))
    if state.runner == 0:
        yield f"refuse {node}, lost", _refuse(state, (node,), guards)
        if guards.tell_others and (guards.repeat or not state.is_sent):
            yield f"refuse {node}", _refuse(state, everyone, guards)
        elif not guards.tell_others:
            told = state._replace(was_told=(True,) * NODES)
            yield f"refuse {node}", _refuse(told, (node,), guards)
    elif state.has_doubt[node]:
        yield f"accept {node}, lost", _accept(state, (node,))
        yield f"accept {node}", _accept(state, everyone)
    if state.listed[node] != state.entry:
        read = state._replace(listed=_replace(state.listed, node, state.entry))
        yield f"read {node}", _end_doubt(read, node)
    elif state.has_doubt[node] and _may_settle(state, node, guards):
        yield f"settle {node}", _end_doubt(state, node)
    peer = (node + 1) % NODES
    doubt = state.has_doubt[peer] and guards.hand_over
    yield (
        f"start node {node}",
        state._replace(
            listed=_replace(state.listed, node, state.listed[peer]),
            has_doubt=_replace(state.has_doubt, node, doubt),
            was_told=_replace(state.was_told, node, state.was_told[peer]),
            has_accepted=_replace(state.has_accepted, node, False),
        ),
    )


def _refuse(state: State, told: tuple[int, ...], guards: Guards) -> State:
    """Let nodes learn that the runner is down."""
    for node in told:
        is_void = guards.void_accepted or not state.has_doubt[node]
        kept = state.has_accepted[node] and not is_void
        state = state._replace(
            has_doubt=_replace(state.has_doubt, node, True),
            was_told=_replace(state.was_told, node, True),
            has_accepted=_replace(state.has_accepted, node, kept),
        )
    return state._replace(is_sent=True)


def _accept(state: State, told: tuple[int, ...]) -> State:
    """Let nodes in doubt learn that the runner accepts connections."""
    accepted = tuple(
        known or (node in told and state.has_doubt[node])
        for node, known in enumerate(state.has_accepted)
    )
    return state._replace(has_accepted=accepted)


def _may_settle(state: State, node: int, guards: Guards) -> bool:
    """Return whether an entry that has not changed for long enough ends a doubt."""
    is_written = state.runner in (0, state.entry)
    is_back = state.has_accepted[node] or not guards.await_accepted
    return not guards.settle or (is_written and is_back)


def _end_doubt(state: State, node: int) -> State:
    return state._replace(
        has_doubt=_replace(state.has_doubt, node, False),
        has_accepted=_replace(state.has_accepted, node, False),
    )


def _stream_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    if not state.began:
        yield f"begin at other {node}", state._replace(began=V1, recorded=V1)
        if state.runner:
            is_ambiguous = state.has_doubt[node] and guards.record_doubt
            recorded = AMBIGUOUS if is_ambiguous else state.listed[node]
            begun = state._replace(began=state.runner, recorded=recorded)
            yield f"begin at {node}", begun
        return
    if state.recorded == AMBIGUOUS:
        yield f"refuse {node}", state._replace(resumed=REFUSED)
        return
    if state.recorded == V1:
        yield f"resume at other {node}", state._replace(resumed=V1)
    is_avoided = state.has_doubt[node] and guards.avoid_in_doubt
    if state.runner and state.listed[node] == state.recorded and not is_avoided:
        yield f"resume at {node}", state._replace(resumed=state.runner)


def _replace(values: tuple[_T, ...], index: int, value: _T) -> tuple[_T, ...]:
    return (*values[:index], value, *values[index + 1 :])
