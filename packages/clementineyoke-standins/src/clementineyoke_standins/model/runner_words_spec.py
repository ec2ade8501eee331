"""What a runner says in its answers: that it leaves, and that it wants rest.

A runner says to a node in answers that it leaves; its entry in the store is written
before, after, or never. The node also learns from the entry and from peers, in any
order, and restarts. Once it has heard it in an answer it sends nothing new to that
lifetime; refused with a time, it sends nothing until then. A runner that starts anew
under its id is neither leaving nor resting.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_REVISION = 3
LAST_LIFETIME = 2
LAST_MOMENT = 3
RESTS = (1, 2)
"""For how many moments a refusal may ask for no calls."""


class Entry(NamedTuple):
    """The runner's entry, as the store holds it or as a node knows it."""

    revision: int = 1
    lifetime: int = 1
    is_leaving: bool = False


class Node(NamedTuple):
    """What one node believes, and what it was told in its own lifetime."""

    entry: Entry = Entry()
    leaving: int = 0
    """The lifetime that it knows by answers to leave; 0 for none."""
    resting: int = 0
    """The lifetime that it lets rest; 0 for none."""
    until: int = 0
    heard_leaving: int = 0
    """The lifetime of which an answer told it; what the promise is judged by."""
    heard_resting: int = 0
    heard_until: int = 0


class State(NamedTuple):
    """The runner, the store, the time and the node."""

    entry: Entry = Entry()
    lifetime: int = 1
    is_leaving: bool = False
    now: int = 0
    node: Node = Node()


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    answers_outlast_entries: bool = True
    binds_lifetimes: bool = True
    longest_rest_counts: bool = True
    rests_outlast_entries: bool = True


INITIAL = State()
MUTATIONS = {
    "let a later entry take a leaving back": Guards(answers_outlast_entries=False),
    "bind the id instead of the lifetime": Guards(binds_lifetimes=False),
    "let a shorter time end a rest": Guards(longest_rest_counts=False),
    "forget a rest with the entry": Guards(rests_outlast_entries=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="runner_words",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "nothing_new_to_a_leaving_lifetime": lambda s: (
                s["node"].heard_leaving != s["node"].entry.lifetime
                or not _sends(s["node"], s["now"])
            ),
            "nothing_new_within_a_rest": lambda s: (
                s["node"].heard_resting != s["node"].entry.lifetime
                or s["now"] >= s["node"].heard_until
                or not _sends(s["node"], s["now"])
            ),
            "a_new_lifetime_is_used": lambda s: (
                not _knows_nothing_against(s["node"], s["lifetime"])
                or _sends(s["node"], s["now"])
            ),
        },
    )


def _sends(node: Node, now: int) -> bool:
    is_resting = node.resting == node.entry.lifetime and now < node.until
    return not node.entry.is_leaving and not is_resting


def _knows_nothing_against(node: Node, lifetime: int) -> bool:
    """Whether a node has the entry of a lifetime that nothing was ever said of."""
    is_new = node.entry == Entry(LAST_REVISION, LAST_LIFETIME)
    return is_new and lifetime == LAST_LIFETIME and not _has_heard(node)


def _has_heard(node: Node) -> bool:
    return LAST_LIFETIME in (node.heard_leaving, node.leaving, node.heard_resting)


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    yield from _world_steps(state)
    yield from _node_steps(state, guards)


def _world_steps(state: State) -> Iterator[Step]:
    if state.now < LAST_MOMENT:
        yield "time", state._replace(now=state.now + 1)
    if not state.is_leaving and state.lifetime == 1:
        yield "leave", state._replace(is_leaving=True)
    if state.lifetime < LAST_LIFETIME:
        yield (
            "start_anew",
            state._replace(lifetime=state.lifetime + 1, is_leaving=False),
        )
    if state.entry.revision < LAST_REVISION:
        # What was written before the runner decided to leave may be done late.
        for says_leaving in {False, state.is_leaving}:
            entry = Entry(state.entry.revision + 1, state.lifetime, says_leaving)
            yield f"enter {says_leaving}", state._replace(entry=entry)


def _node_steps(state: State, guards: Guards) -> Iterator[Step]:
    node = state.node
    if node.entry.lifetime == state.lifetime:
        # Calls that were sent before may still be answered.
        if state.is_leaving:
            yield "answer", state._replace(node=_hear_leaving(node))
        for rest in RESTS:
            refused = _hear_rest(node, state.now + rest, guards)
            yield f"refuse {rest}", state._replace(node=refused)
    yield "read", state._replace(node=_take(node, state.entry, guards))
    if state.is_leaving:
        # A peer that was answered tells what it knows, whatever the entry says.
        told = state.entry._replace(lifetime=state.lifetime, is_leaving=True)
        if state.entry.lifetime == state.lifetime:
            yield "tell", state._replace(node=_take(node, told, guards))
    yield "restart", state._replace(node=Node(entry=state.entry))


def _hear_leaving(node: Node) -> Node:
    lifetime = node.entry.lifetime
    return node._replace(
        entry=node.entry._replace(is_leaving=True),
        leaving=lifetime,
        heard_leaving=lifetime,
    )


def _hear_rest(node: Node, until: int, guards: Guards) -> Node:
    lifetime = node.entry.lifetime
    known = node.until if node.resting == lifetime else 0
    kept = max(known, until) if guards.longest_rest_counts else until
    heard = node.heard_until if node.heard_resting == lifetime else 0
    return node._replace(
        resting=lifetime,
        until=kept,
        heard_resting=lifetime,
        heard_until=max(heard, until),
    )


def _take(node: Node, entry: Entry, guards: Guards) -> Node:
    """Take an entry from the store or from a peer."""
    if entry.revision <= node.entry.revision:
        is_told = entry.is_leaving and entry.lifetime == node.entry.lifetime
        if not is_told or node.entry.is_leaving:
            return node
        marked = node.entry._replace(is_leaving=True)
        return node._replace(entry=marked, leaving=entry.lifetime)
    if entry.lifetime < node.entry.lifetime:
        return node
    is_bound = node.leaving == entry.lifetime or (
        not guards.binds_lifetimes and node.leaving > 0
    )
    if is_bound and guards.answers_outlast_entries:
        entry = entry._replace(is_leaving=True)
    taken = node._replace(entry=entry)
    if not guards.rests_outlast_entries:
        taken = taken._replace(resting=0, until=0)
    if not guards.binds_lifetimes and node.resting:
        taken = taken._replace(resting=entry.lifetime)
    return taken
