"""Signals of a runner in its answers: that it drains, and that a node is to back off.

A runner signals to a node in answers that it drains; its entry in the store is written
anew before, after, or never. The node also learns from the entry and from peers, in any
order, and restarts. After the signal it sends nothing new to that lifetime; refused
with a time, it sends nothing until then. A runner that starts anew under its id is
neither draining nor backed off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_REVISION = 3
LAST_LIFETIME = 2
LAST_MOMENT = 3
BACKOFFS = (1, 2)
"""For how many moments a refusal may ask the node to back off."""


class Entry(NamedTuple):
    """The runner's entry, as the store holds it or as a node knows it."""

    revision: int = 1
    lifetime: int = 1
    is_draining: bool = False


class Node(NamedTuple):
    """What one node believes, and what it was told in its own lifetime."""

    entry: Entry = Entry()
    draining: int = 0
    """The lifetime that drains by its own signal; 0 for none."""
    backed_off: int = 0
    """The lifetime that it backs off from; 0 for none."""
    until: int = 0
    told_draining: int = 0
    """The lifetime of which an answer told it; the promise is judged by this."""
    told_backoff: int = 0
    told_until: int = 0


class State(NamedTuple):
    """The runner, the store, the time and the node."""

    entry: Entry = Entry()
    lifetime: int = 1
    is_draining: bool = False
    now: int = 0
    node: Node = Node()


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    signals_outlast_entries: bool = True
    binds_lifetimes: bool = True
    longest_backoff_counts: bool = True
    backoffs_outlast_entries: bool = True


INITIAL = State()
MUTATIONS = {
    "let a later entry take the signal back": Guards(signals_outlast_entries=False),
    "bind the id instead of the lifetime": Guards(binds_lifetimes=False),
    "let a shorter time end a backoff": Guards(longest_backoff_counts=False),
    "forget a backoff with the entry": Guards(backoffs_outlast_entries=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="runner_signals",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "nothing_new_to_a_draining_lifetime": lambda s: (
                s["node"].told_draining != s["node"].entry.lifetime
                or not _sends(s["node"], s["now"])
            ),
            "nothing_new_within_a_backoff": lambda s: (
                s["node"].told_backoff != s["node"].entry.lifetime
                or s["now"] >= s["node"].told_until
                or not _sends(s["node"], s["now"])
            ),
            "a_new_lifetime_is_used": lambda s: (
                not _knows_nothing_against(s["node"], s["lifetime"])
                or _sends(s["node"], s["now"])
            ),
        },
    )


def _sends(node: Node, now: int) -> bool:
    is_backed_off = node.backed_off == node.entry.lifetime and now < node.until
    return not node.entry.is_draining and not is_backed_off


def _knows_nothing_against(node: Node, lifetime: int) -> bool:
    """Whether a node has the entry of a lifetime that nothing was ever said of."""
    is_new = node.entry == Entry(LAST_REVISION, LAST_LIFETIME)
    return is_new and lifetime == LAST_LIFETIME and not _was_told(node)


def _was_told(node: Node) -> bool:
    return LAST_LIFETIME in (node.told_draining, node.draining, node.told_backoff)


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    yield from _world_steps(state)
    yield from _node_steps(state, guards)


def _world_steps(state: State) -> Iterator[Step]:
    if state.now < LAST_MOMENT:
        yield "time", state._replace(now=state.now + 1)
    if not state.is_draining and state.lifetime == 1:
        yield "drain", state._replace(is_draining=True)
    if state.lifetime < LAST_LIFETIME:
        yield (
            "start_anew",
            state._replace(lifetime=state.lifetime + 1, is_draining=False),
        )
    if state.entry.revision < LAST_REVISION:
        # What was written before the runner began to drain may be done late.
        for says_draining in {False, state.is_draining}:
            entry = Entry(state.entry.revision + 1, state.lifetime, says_draining)
            yield f"enter {says_draining}", state._replace(entry=entry)


def _node_steps(state: State, guards: Guards) -> Iterator[Step]:
    node = state.node
    if node.entry.lifetime == state.lifetime:
        # Calls that were sent before may still be answered.
        if state.is_draining:
            yield "answer", state._replace(node=_learn_draining(node))
        for backoff in BACKOFFS:
            refused = _learn_backoff(node, state.now + backoff, guards)
            yield f"refuse {backoff}", state._replace(node=refused)
    yield "read", state._replace(node=_take(node, state.entry, guards))
    if state.is_draining:
        # A peer that got the signal passes it on, whatever the entry says.
        told = state.entry._replace(lifetime=state.lifetime, is_draining=True)
        if state.entry.lifetime == state.lifetime:
            yield "tell", state._replace(node=_take(node, told, guards))
    yield "restart", state._replace(node=Node(entry=state.entry))


def _learn_draining(node: Node) -> Node:
    lifetime = node.entry.lifetime
    return node._replace(
        entry=node.entry._replace(is_draining=True),
        draining=lifetime,
        told_draining=lifetime,
    )


def _learn_backoff(node: Node, until: int, guards: Guards) -> Node:
    lifetime = node.entry.lifetime
    known = node.until if node.backed_off == lifetime else 0
    kept = max(known, until) if guards.longest_backoff_counts else until
    told = node.told_until if node.told_backoff == lifetime else 0
    return node._replace(
        backed_off=lifetime,
        until=kept,
        told_backoff=lifetime,
        told_until=max(told, until),
    )


def _take(node: Node, entry: Entry, guards: Guards) -> Node:
    """Take an entry from the store or from a peer."""
    if entry.revision <= node.entry.revision:
        is_told = entry.is_draining and entry.lifetime == node.entry.lifetime
        if not is_told or node.entry.is_draining:
            return node
        marked = node.entry._replace(is_draining=True)
        return node._replace(entry=marked, draining=entry.lifetime)
    if entry.lifetime < node.entry.lifetime:
        return node
    is_bound = node.draining == entry.lifetime or (
        not guards.binds_lifetimes and node.draining > 0
    )
    if is_bound and guards.signals_outlast_entries:
        entry = entry._replace(is_draining=True)
    taken = node._replace(entry=entry)
    if not guards.backoffs_outlast_entries:
        taken = taken._replace(backed_off=0, until=0)
    if not guards.binds_lifetimes and node.backed_off:
        taken = taken._replace(backed_off=entry.lifetime)
    return taken
