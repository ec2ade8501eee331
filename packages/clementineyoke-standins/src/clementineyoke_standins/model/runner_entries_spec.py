"""Model of a runner's entry with two nodes, a store outage and a disconnected node.

The runner's entry lapses during the outage and the runner registers again, or the
runner leaves while the store is available. Nodes learn of changes from the store and
from each other. A node must not treat a live runner as gone because its entry lapsed,
and must not restore a runner whose removal it has observed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NODES = (0, 1)
UP, DOWN, RECOVERING = "up", "down", "recovering"
"""``RECOVERING``: the store responds again, but runners may not have returned yet."""
UNKNOWN, REGISTERED, LAPSED, GONE = "unknown", "registered", "lapsed", "gone"


class Node(NamedTuple):
    """What one node knows of the runner."""

    runner_state: str = REGISTERED
    revision: int = 1
    """Revision of the store that the node knows; 0 just after its start."""
    is_store_unreachable: bool = False
    """Whether the node's own calls to the store fail."""
    observed_outage: bool = False
    """Whether the node knows of an outage from which runners may still return."""
    observed_removal: bool = False
    """Whether the node has removed the runner."""


class State(NamedTuple):
    """The store, the runner and both nodes."""

    store: str = UP
    had_outage: bool = False
    revision: int = 1
    is_registered: bool = True
    has_left: bool = False
    nodes: tuple[Node, Node] = (Node(), Node())


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    retain_after_outage: bool = True
    retain_while_unreachable: bool = True
    adopt_lapsed_when_new_only: bool = True
    share_outage: bool = True


INITIAL = State()
MUTATIONS = {
    "remove lapsed entries": Guards(retain_after_outage=False),
    "remove what a peer lacks while the store is unreachable": Guards(
        retain_while_unreachable=False
    ),
    "adopt any lapsed entry of a peer": Guards(adopt_lapsed_when_new_only=False),
}
MUTATIONS["send a view without its outage"] = Guards(share_outage=False)
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="runner_entries",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "lapsed_entry_is_no_removal": lambda s: (
                s["has_left"]
                or s["store"] == UP
                or all(node.runner_state != GONE for node in s["nodes"])
            ),
            "removal_is_final": lambda s: all(
                node.runner_state == GONE or not node.observed_removal
                for node in s["nodes"]
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    yield from _environment_steps(state)
    for index in NODES:
        yield from _node_steps(state, index, guards)


def _environment_steps(state: State) -> Iterator[Step]:
    if state.store == UP and not state.had_outage:
        yield "store_down", state._replace(store=DOWN, had_outage=True)
    if state.store == DOWN:
        # An entry lapses after three missed heartbeats, and each node calls the store
        # more often than that.
        is_outage_known = all(node.observed_outage for node in state.nodes)
        if state.is_registered and not state.has_left and is_outage_known:
            yield "lapse", _change(state, is_registered=False)
        yield "store_up", state._replace(store=RECOVERING)
    if state.store == RECOVERING:
        if not state.is_registered and not state.has_left:
            yield "register_again", _change(state, is_registered=True)
        if state.is_registered or state.has_left:
            first, second = (
                node._replace(observed_outage=False) for node in state.nodes
            )
            yield "recovery_over", state._replace(store=UP, nodes=(first, second))
    if state.store == UP and state.is_registered and not state.has_left:
        yield "deregister", _change(state, is_registered=False, has_left=True)


def _change(state: State, *, is_registered: bool, has_left: bool = False) -> State:
    return state._replace(
        is_registered=is_registered, has_left=has_left, revision=state.revision + 1
    )


def _node_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    node = state.nodes[index]
    peer = state.nodes[1 - index]
    if not node.is_store_unreachable:
        # The store is down, or only this node has lost its connection to it.
        unreachable = node._replace(
            is_store_unreachable=True, observed_outage=state.store != UP
        )
        yield f"unreachable {index}", _with_node(state, index, unreachable)
    if state.store != DOWN:
        yield (
            f"read {index}",
            _with_node(state, index, _apply_store_view(state, node, guards)),
        )
    if peer.revision > node.revision:
        updated = _apply_peer_view(node, peer, guards)
        yield f"receive_view {index}", _with_node(state, index, updated)
    if peer.observed_removal and node.runner_state in (REGISTERED, LAPSED):
        yield (
            f"receive_removal {index}",
            _with_node(state, index, _apply_removal(node, peer, guards)),
        )
    if node.runner_state == LAPSED and state.store == UP and not state.is_registered:
        yield f"expire {index}", _with_node(state, index, _remove(node))
    if node.revision:
        new = Node(runner_state=UNKNOWN, revision=0)
        yield f"restart {index}", _with_node(state, index, new)


def _apply_store_view(state: State, node: Node, guards: Guards) -> Node:
    in_recovery = state.store == RECOVERING and (
        node.is_store_unreachable or node.observed_outage
    )
    read = node._replace(
        revision=state.revision, is_store_unreachable=False, observed_outage=in_recovery
    )
    if state.is_registered:
        return read._replace(runner_state=REGISTERED, observed_removal=False)
    if node.runner_state in (GONE, UNKNOWN):
        return read._replace(runner_state=node.runner_state)
    if node.runner_state == LAPSED or (in_recovery and guards.retain_after_outage):
        return read._replace(runner_state=LAPSED)
    return _remove(read)


def _apply_peer_view(node: Node, peer: Node, guards: Guards) -> Node:
    is_new = node.revision == 0
    # A new node has not observed the outage; the peer that sends the view reports it.
    learns_outage = is_new and guards.share_outage and peer.observed_outage
    updated = node._replace(
        revision=peer.revision, observed_outage=node.observed_outage or learns_outage
    )
    if peer.runner_state == REGISTERED:
        return updated._replace(runner_state=REGISTERED, observed_removal=False)
    if peer.runner_state == LAPSED:
        if node.runner_state in (REGISTERED, LAPSED):
            return updated._replace(runner_state=LAPSED)
        if is_new or not guards.adopt_lapsed_when_new_only:
            return updated._replace(runner_state=LAPSED)
        return updated
    if node.runner_state != REGISTERED:
        return updated
    if (
        node.is_store_unreachable or node.observed_outage
    ) and guards.retain_while_unreachable:
        return updated._replace(runner_state=LAPSED)
    return _remove(updated)


def _apply_removal(node: Node, peer: Node, guards: Guards) -> Node:
    """Apply a removal that a peer has observed, rather than inferred from a view."""
    if peer.revision < node.revision:
        return node
    updated = node._replace(revision=peer.revision)
    if (
        node.is_store_unreachable or node.observed_outage
    ) and guards.retain_while_unreachable:
        return updated._replace(runner_state=LAPSED)
    return _remove(updated)


def _remove(node: Node) -> Node:
    return node._replace(runner_state=GONE, observed_removal=True)


def _with_node(state: State, index: int, node: Node) -> State:
    nodes = (node, state.nodes[1]) if index == 0 else (state.nodes[0], node)
    return state._replace(nodes=nodes)
