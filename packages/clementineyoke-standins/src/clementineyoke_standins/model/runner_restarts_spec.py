"""Model of a runner that starts again under its id at another version.

One runner ends and comes back under its id and address at another version, beside a
second one that keeps the old version. Two nodes read its new entry late. A caller
begins a stream at one of them and resumes it at either. What the model takes for
granted: a node tries a connection before the runner is back, and a runner that is
back writes its entry before the time is over after which a doubt ends.
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
    has_evidence: bool = False
    """Whether a node has found out that the runner is down."""
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


INITIAL = State()
MUTATIONS = {
    "tell no other node of the end": Guards(tell_others=False),
    "record the version of the entry in doubt": Guards(record_doubt=False),
    "go on at a runner in doubt": Guards(avoid_in_doubt=False),
    "end the doubt at the next answer of the store": Guards(settle=False),
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
        yield "end", state._replace(runner=0)
    if state.runner == 0 and state.has_evidence:
        yield "start again", state._replace(runner=V2)
    if state.runner == V2 and state.entry == V1:
        yield "write entry", state._replace(entry=V2)
    for node in range(NODES):
        yield from _node_steps(state, node, guards)
        yield from _stream_steps(state, node, guards)


def _node_steps(state: State, node: int, guards: Guards) -> Iterator[Step]:
    if state.runner == 0:
        doubts = tuple(
            known or n == node or guards.tell_others
            for n, known in enumerate(state.has_doubt)
        )
        yield f"refuse {node}", state._replace(has_doubt=doubts, has_evidence=True)
    may_settle = state.runner == V1 or not guards.settle
    if state.listed[node] != state.entry or may_settle:
        read = state._replace(
            listed=_replace(state.listed, node, state.entry),
            has_doubt=_replace(state.has_doubt, node, False),
        )
        yield f"read {node}", read


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
