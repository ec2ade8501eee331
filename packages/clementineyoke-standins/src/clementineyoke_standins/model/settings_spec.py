"""Settings: two operators race for versions; nodes learn from the log and from peers.

A version's change is created only if it is not there. A node applies the next version
and nothing else, whoever offers it: the platform, a peer that is behind, a restart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

OPERATORS = ("A", "B")
LAST_VERSION = 3
Log = tuple[str, ...]


class State(NamedTuple):
    """The log on the platform, two nodes' applied logs, and the operators' bases."""

    log: Log
    nodes: tuple[Log, Log]
    highest: tuple[int, int]
    """The highest version that each node ever had in force since its start."""
    bases: tuple[int, int]
    """The version each operator looked at; -1 when not editing."""
    snapshot: int
    """The version of the snapshot that the platform holds."""
    accepted: Log
    """What operators were told is accepted, by version."""


class Guards(NamedTuple):
    """The guards of the protocol; a mutation switches one off."""

    create_only: bool = True
    next_version_only: bool = True
    newer_snapshot_only: bool = True


INITIAL = State((), ((), ()), (0, 0), (-1, -1), 0, ())
MUTATIONS = {
    "overwrite a version": Guards(create_only=False),
    "take any peer's log": Guards(next_version_only=False),
    "restore an older snapshot": Guards(newer_snapshot_only=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name="settings",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "accepted_stands": lambda s: (
                s["log"][: len(s["accepted"])] == s["accepted"]
            ),
            "nodes_follow_the_log": lambda s: all(
                node == s["log"][: len(node)] for node in s["nodes"]
            ),
            "never_reverts": lambda s: all(
                len(node) >= highest
                for node, highest in zip(s["nodes"], s["highest"], strict=True)
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield every step that may come next."""
    for index, operator in enumerate(OPERATORS):
        yield from _operator_steps(state, index, operator, guards)
    for index in range(len(state.nodes)):
        yield from _node_steps(state, index, guards)


def _operator_steps(
    state: State, index: int, operator: str, guards: Guards
) -> Iterator[Step]:
    base = state.bases[index]
    if base < 0:
        if len(state.log) < LAST_VERSION:
            bases = _put(state.bases, index, len(state.log))
            yield f"look {operator}", state._replace(bases=bases)
        return
    idle = state._replace(bases=_put(state.bases, index, -1))
    if base == len(state.log):
        log = (*state.log, operator)
        # The reply may be lost: then the operator is not told, the change stands.
        yield f"commit {operator}", idle._replace(log=log, accepted=log)
        yield f"lose_reply {operator}", idle._replace(log=log)
    elif not guards.create_only:
        log = (*state.log[:base], operator, *state.log[base + 1 :])
        accepted = max(state.accepted, log[: base + 1], key=len)
        yield f"commit {operator}", idle._replace(log=log, accepted=accepted)
    else:
        yield f"conflict {operator}", idle


def _node_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    own = state.nodes[index]
    other = state.nodes[1 - index]
    if len(own) < len(state.log):
        yield (
            f"apply platform {index}",
            _with_node(state, index, state.log[: len(own) + 1]),
        )
    if len(own) < len(other):
        yield f"apply peer {index}", _with_node(state, index, other[: len(own) + 1])
    if not guards.next_version_only and other != own:
        yield f"take peer {index}", _with_node(state, index, other)
    if len(own) > state.snapshot:
        yield f"write_snapshot {index}", state._replace(snapshot=len(own))
    restored = state.log[: state.snapshot]
    if len(restored) > len(own) or (restored and not guards.newer_snapshot_only):
        yield f"restore {index}", _with_node(state, index, restored)
    if own:
        # A restart forgets; it serves nothing before it has applied a version again.
        nodes = _put_log(state.nodes, index, ())
        highest = _put(state.highest, index, 0)
        yield f"restart {index}", state._replace(nodes=nodes, highest=highest)


def _with_node(state: State, index: int, log: Log) -> State:
    highest = _put(state.highest, index, max(state.highest[index], len(log)))
    return state._replace(nodes=_put_log(state.nodes, index, log), highest=highest)


def _put(pair: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _put_log(pair: tuple[Log, Log], index: int, value: Log) -> tuple[Log, Log]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
