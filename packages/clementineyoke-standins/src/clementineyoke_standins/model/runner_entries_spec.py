"""Runners' entries: one runner, two nodes, an outage of the store, a node cut off.

The runner's entry lapses in the outage and the runner returns, or it leaves while the
store is well. Nodes learn from the store and from each other. A node must not believe
a living runner gone because its entry lapsed, and must not take a runner back whose end
it has seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = (0, 1)
UP, DOWN, RETURNED = "up", "down", "returned"
"""``RETURNED``: the store answers again and runners have not had time to come back."""
UNKNOWN, HELD, LAPSED, GONE = "unknown", "held", "lapsed", "gone"


class Node(NamedTuple):
    """What one node believes of the runner."""

    belief: str = HELD
    revision: int = 1
    """As of which revision of the store; 0 for a node that has just started."""
    is_away: bool = False
    """Whether it finds the store away, by its own calls."""
    saw_outage: bool = False
    """Whether it found the store away and the time to return is not over."""
    saw_end: bool = False
    """Whether it has learnt of the runner's end and dropped it."""


class State(NamedTuple):
    """The store, the runner and both nodes."""

    store: str = UP
    had_outage: bool = False
    revision: int = 1
    is_entered: bool = True
    has_left: bool = False
    nodes: tuple[Node, Node] = (Node(), Node())


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    hold_after_outage: bool = True
    hold_while_away: bool = True
    adopt_when_new_only: bool = True
    hand_over_outage: bool = True


INITIAL = State()
MUTATIONS = {
    "drop what lapsed": Guards(hold_after_outage=False),
    "take a peer's list at its word while the store is away": Guards(
        hold_while_away=False
    ),
    "adopt whatever a peer waits for": Guards(adopt_when_new_only=False),
}
MUTATIONS["hand a list over without the outage"] = Guards(hand_over_outage=False)
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="runner_entries",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "a_lapse_is_no_end": lambda s: (
                s["has_left"]
                or s["store"] == UP
                or all(node.belief != GONE for node in s["nodes"])
            ),
            "an_end_is_final": lambda s: all(
                node.belief == GONE or not node.saw_end for node in s["nodes"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    yield from _world_steps(state)
    for index in NODES:
        yield from _node_steps(state, index, guards)


def _world_steps(state: State) -> Iterator[Step]:
    if state.store == UP and not state.had_outage:
        yield "store_down", state._replace(store=DOWN, had_outage=True)
    if state.store == DOWN:
        # An entry lapses after three heartbeats of silence, and each node calls the
        # store more often than that.
        is_seen = all(node.saw_outage for node in state.nodes)
        if state.is_entered and not state.has_left and is_seen:
            yield "lapse", _change(state, is_entered=False)
        yield "store_up", state._replace(store=RETURNED)
    if state.store == RETURNED:
        if not state.is_entered and not state.has_left:
            yield "runner_returns", _change(state, is_entered=True)
        if state.is_entered or state.has_left:
            one, two = (node._replace(saw_outage=False) for node in state.nodes)
            yield "time_over", state._replace(store=UP, nodes=(one, two))
    if state.store == UP and state.is_entered and not state.has_left:
        yield "leave", _change(state, is_entered=False, has_left=True)


def _change(state: State, *, is_entered: bool, has_left: bool = False) -> State:
    return state._replace(
        is_entered=is_entered, has_left=has_left, revision=state.revision + 1
    )


def _node_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    node = state.nodes[index]
    other = state.nodes[1 - index]
    if not node.is_away:
        # The store is down, or this node alone is cut off from it.
        away = node._replace(is_away=True, saw_outage=state.store != UP)
        yield f"away {index}", _with(state, index, away)
    if state.store != DOWN:
        yield f"read {index}", _with(state, index, _read(state, node, guards))
    if other.revision > node.revision:
        told = _tell(node, other, guards)
        yield f"tell {index}", _with(state, index, told)
    if other.saw_end and node.belief in (HELD, LAPSED):
        yield f"hear_end {index}", _with(state, index, _hear_end(node, other, guards))
    if node.belief == LAPSED and state.store == UP and not state.is_entered:
        yield f"expire {index}", _with(state, index, _end(node))
    if node.revision:
        new = Node(belief=UNKNOWN, revision=0)
        yield f"restart {index}", _with(state, index, new)


def _read(state: State, node: Node, guards: Guards) -> Node:
    in_time = state.store == RETURNED and (node.is_away or node.saw_outage)
    read = node._replace(revision=state.revision, is_away=False, saw_outage=in_time)
    if state.is_entered:
        return read._replace(belief=HELD, saw_end=False)
    if node.belief in (GONE, UNKNOWN):
        return read._replace(belief=node.belief)
    if node.belief == LAPSED or (in_time and guards.hold_after_outage):
        return read._replace(belief=LAPSED)
    return _end(read)


def _tell(node: Node, other: Node, guards: Guards) -> Node:
    is_new = node.revision == 0
    # A new node has not seen the outage itself; whoever hands it a list says so.
    hears_outage = is_new and guards.hand_over_outage and other.saw_outage
    told = node._replace(
        revision=other.revision, saw_outage=node.saw_outage or hears_outage
    )
    if other.belief == HELD:
        return told._replace(belief=HELD, saw_end=False)
    if other.belief == LAPSED:
        if node.belief in (HELD, LAPSED):
            return told._replace(belief=LAPSED)
        if is_new or not guards.adopt_when_new_only:
            return told._replace(belief=LAPSED)
        return told
    if node.belief != HELD:
        return told
    if (node.is_away or node.saw_outage) and guards.hold_while_away:
        return told._replace(belief=LAPSED)
    return _end(told)


def _hear_end(node: Node, other: Node, guards: Guards) -> Node:
    """Take the word of a node that has seen the end, not only a list without it."""
    if other.revision < node.revision:
        return node
    heard = node._replace(revision=other.revision)
    if (node.is_away or node.saw_outage) and guards.hold_while_away:
        return heard._replace(belief=LAPSED)
    return _end(heard)


def _end(node: Node) -> Node:
    return node._replace(belief=GONE, saw_end=True)


def _with(state: State, index: int, node: Node) -> State:
    nodes = (node, state.nodes[1]) if index == 0 else (state.nodes[0], node)
    return state._replace(nodes=nodes)
