"""Model of a runner's signals in its responses: draining, and backoff for a node.

A runner signals draining to a node in its responses; its entry in the store is updated
before, after or never. The node also learns of it from the entry and from peers, in any
order, and may restart. After the signal it must send no new calls to that lifetime, and
after a refusal with ``Retry-After`` none until that time has passed. A runner that
restarts under the same ID is neither draining nor backed off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REVISION = 3
MAX_LIFETIME = 2
MAX_TIME = 3
BACKOFF_DURATIONS = (1, 2)
"""Backoff times that a refusal may request, in units of the model's time."""


class Entry(NamedTuple):
    """The runner's entry in the store or as a node knows it."""

    revision: int = 1
    lifetime: int = 1
    is_draining: bool = False


class Node(NamedTuple):
    """What one node knows, and which signals it received since its start."""

    entry: Entry = Entry()
    draining_lifetime: int = 0
    """The lifetime that the node treats as draining by its own signal; 0 for none."""
    backoff_lifetime: int = 0
    """The lifetime for which the node backs off; 0 for none."""
    backoff_until: int = 0
    signalled_draining_lifetime: int = 0
    """The lifetime that signalled draining in a response; read by invariants only."""
    signalled_backoff_lifetime: int = 0
    signalled_backoff_until: int = 0


class State(NamedTuple):
    """The runner, the store, the time and the node."""

    entry: Entry = Entry()
    lifetime: int = 1
    is_draining: bool = False
    now: int = 0
    node: Node = Node()


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    retain_signals_over_entries: bool = True
    bind_to_lifetime: bool = True
    keep_longest_backoff: bool = True
    retain_backoffs_over_entries: bool = True


INITIAL = State()
MUTATIONS = {
    "clear the draining signal by a later entry": Guards(
        retain_signals_over_entries=False
    ),
    "apply signals to the ID instead of the lifetime": Guards(bind_to_lifetime=False),
    "shorten a backoff by a later refusal": Guards(keep_longest_backoff=False),
    "drop a backoff when the entry changes": Guards(retain_backoffs_over_entries=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="runner_signals",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "no_new_call_to_draining_lifetime": lambda s: (
                s["node"].signalled_draining_lifetime != s["node"].entry.lifetime
                or not _may_send(s["node"], s["now"])
            ),
            "no_new_call_during_backoff": lambda s: (
                s["node"].signalled_backoff_lifetime != s["node"].entry.lifetime
                or s["now"] >= s["node"].signalled_backoff_until
                or not _may_send(s["node"], s["now"])
            ),
            "new_lifetime_gets_calls": lambda s: (
                not _knows_unsignalled_lifetime(s["node"], s["lifetime"])
                or _may_send(s["node"], s["now"])
            ),
        },
    )


def _may_send(node: Node, now: int) -> bool:
    is_backed_off = (
        node.backoff_lifetime == node.entry.lifetime and now < node.backoff_until
    )
    return not node.entry.is_draining and not is_backed_off


def _knows_unsignalled_lifetime(node: Node, lifetime: int) -> bool:
    """Return whether a node has the entry of a lifetime without any signals."""
    is_new = node.entry == Entry(MAX_REVISION, MAX_LIFETIME)
    return is_new and lifetime == MAX_LIFETIME and not _was_signalled(node)


def _was_signalled(node: Node) -> bool:
    return MAX_LIFETIME in (
        node.signalled_draining_lifetime,
        node.draining_lifetime,
        node.signalled_backoff_lifetime,
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    yield from _environment_steps(state)
    yield from _node_steps(state, guards)


def _environment_steps(state: State) -> Iterator[Step]:
    if state.now < MAX_TIME:
        yield "time", state._replace(now=state.now + 1)
    if not state.is_draining and state.lifetime == 1:
        yield "drain", state._replace(is_draining=True)
    if state.lifetime < MAX_LIFETIME:
        yield (
            "restart_runner",
            state._replace(lifetime=state.lifetime + 1, is_draining=False),
        )
    if state.entry.revision < MAX_REVISION:
        # A write from before the runner started to drain may be executed late.
        for signals_draining in {False, state.is_draining}:
            entry = Entry(state.entry.revision + 1, state.lifetime, signals_draining)
            yield f"write_entry {signals_draining}", state._replace(entry=entry)


def _node_steps(state: State, guards: Guards) -> Iterator[Step]:
    node = state.node
    if node.entry.lifetime == state.lifetime:
        # Calls that were sent earlier may still be answered.
        if state.is_draining:
            yield "answer", state._replace(node=_record_draining(node))
        for backoff in BACKOFF_DURATIONS:
            refused = _record_backoff(node, state.now + backoff, guards)
            yield f"refuse {backoff}", state._replace(node=refused)
    yield "read", state._replace(node=_apply_entry(node, state.entry, guards))
    if state.is_draining:
        # A peer that received the signal forwards it regardless of the entry.
        signal = state.entry._replace(lifetime=state.lifetime, is_draining=True)
        if state.entry.lifetime == state.lifetime:
            yield (
                "receive_signal",
                state._replace(node=_apply_entry(node, signal, guards)),
            )
    yield "restart_node", state._replace(node=Node(entry=state.entry))


def _record_draining(node: Node) -> Node:
    lifetime = node.entry.lifetime
    return node._replace(
        entry=node.entry._replace(is_draining=True),
        draining_lifetime=lifetime,
        signalled_draining_lifetime=lifetime,
    )


def _record_backoff(node: Node, backoff_until: int, guards: Guards) -> Node:
    lifetime = node.entry.lifetime
    known = node.backoff_until if node.backoff_lifetime == lifetime else 0
    until = max(known, backoff_until) if guards.keep_longest_backoff else backoff_until
    signalled = (
        node.signalled_backoff_until
        if node.signalled_backoff_lifetime == lifetime
        else 0
    )
    return node._replace(
        backoff_lifetime=lifetime,
        backoff_until=until,
        signalled_backoff_lifetime=lifetime,
        signalled_backoff_until=max(signalled, backoff_until),
    )


def _apply_entry(node: Node, entry: Entry, guards: Guards) -> Node:
    """Apply an entry that was received from the store or a peer."""
    if entry.revision <= node.entry.revision:
        is_signal = entry.is_draining and entry.lifetime == node.entry.lifetime
        if not is_signal or node.entry.is_draining:
            return node
        marked = node.entry._replace(is_draining=True)
        return node._replace(entry=marked, draining_lifetime=entry.lifetime)
    if entry.lifetime < node.entry.lifetime:
        return node
    is_bound = node.draining_lifetime == entry.lifetime or (
        not guards.bind_to_lifetime and node.draining_lifetime > 0
    )
    if is_bound and guards.retain_signals_over_entries:
        entry = entry._replace(is_draining=True)
    updated = node._replace(entry=entry)
    if not guards.retain_backoffs_over_entries:
        updated = updated._replace(backoff_lifetime=0, backoff_until=0)
    if not guards.bind_to_lifetime and node.backoff_lifetime:
        updated = updated._replace(backoff_lifetime=entry.lifetime)
    return updated
