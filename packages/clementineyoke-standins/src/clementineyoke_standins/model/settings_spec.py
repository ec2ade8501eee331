"""Model of settings: two operators compete for versions that two nodes replicate.

The change of a version is created only if it does not exist. A node applies only its
next version, whether it comes from the platform or from a peer, and also after a
restart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

OPERATORS = ("A", "B")
MAX_VERSION = 3
Log = tuple[str, ...]


class State(NamedTuple):
    """The platform's log, the logs applied by two nodes, and the operators' bases."""

    log: Log
    nodes: tuple[Log, Log]
    max_versions: tuple[int, int]
    """The highest version that each node has had in force since its start."""
    base_versions: tuple[int, int]
    """The version that each operator's change is based on; -1 while not editing."""
    snapshot_version: int
    """The version of the snapshot that the platform stores."""
    accepted: Log
    """Changes that were reported to operators as accepted, by version."""


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutation disables."""

    create_only: bool = True
    next_version_only: bool = True
    newer_snapshot_only: bool = True


INITIAL = State((), ((), ()), (0, 0), (-1, -1), 0, ())
MUTATIONS = {
    "overwrite a version": Guards(create_only=False),
    "adopt any peer's log": Guards(next_version_only=False),
    "restore an older snapshot": Guards(newer_snapshot_only=False),
}
Step = tuple[str, State]


def build(guards: Guards) -> Protocol:
    """Return the protocol for the model checker."""
    return Protocol(
        name="settings",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: list(steps(state, guards)),
        invariants={
            "accepted_changes_persist": lambda s: (
                s["log"][: len(s["accepted"])] == s["accepted"]
            ),
            "node_logs_are_prefixes": lambda s: all(
                node == s["log"][: len(node)] for node in s["nodes"]
            ),
            "never_reverts": lambda s: all(
                len(node) >= max_version
                for node, max_version in zip(s["nodes"], s["max_versions"], strict=True)
            ),
        },
    )


def steps(state: State, guards: Guards) -> Iterator[Step]:
    """Yield the label and the next state of each possible step."""
    for index, operator in enumerate(OPERATORS):
        yield from _operator_steps(state, index, operator, guards)
    for index in range(len(state.nodes)):
        yield from _node_steps(state, index, guards)


def _operator_steps(
    state: State, index: int, operator: str, guards: Guards
) -> Iterator[Step]:
    base = state.base_versions[index]
    if base < 0:
        if len(state.log) < MAX_VERSION:
            base_versions = _replace_at(state.base_versions, index, len(state.log))
            yield f"read {operator}", state._replace(base_versions=base_versions)
        return
    not_editing = state._replace(
        base_versions=_replace_at(state.base_versions, index, -1)
    )
    if base == len(state.log):
        log = (*state.log, operator)
        # If the reply is lost, the change persists without being reported as accepted.
        yield f"commit {operator}", not_editing._replace(log=log, accepted=log)
        yield f"lose_reply {operator}", not_editing._replace(log=log)
    elif not guards.create_only:
        log = (*state.log[:base], operator, *state.log[base + 1 :])
        accepted = max(state.accepted, log[: base + 1], key=len)
        yield f"commit {operator}", not_editing._replace(log=log, accepted=accepted)
    else:
        yield f"conflict {operator}", not_editing


def _node_steps(state: State, index: int, guards: Guards) -> Iterator[Step]:
    local = state.nodes[index]
    peer = state.nodes[1 - index]
    if len(local) < len(state.log):
        yield (
            f"apply platform {index}",
            _with_node(state, index, state.log[: len(local) + 1]),
        )
    if len(local) < len(peer):
        yield f"apply peer {index}", _with_node(state, index, peer[: len(local) + 1])
    if not guards.next_version_only and peer != local:
        yield f"adopt peer {index}", _with_node(state, index, peer)
    if len(local) > state.snapshot_version:
        yield f"write_snapshot {index}", state._replace(snapshot_version=len(local))
    restored = state.log[: state.snapshot_version]
    if len(restored) > len(local) or (restored and not guards.newer_snapshot_only):
        yield f"restore {index}", _with_node(state, index, restored)
    if local:
        # A restarted node serves no calls until it has applied a version again.
        nodes = _replace_log(state.nodes, index, ())
        max_versions = _replace_at(state.max_versions, index, 0)
        yield f"restart {index}", state._replace(nodes=nodes, max_versions=max_versions)


def _with_node(state: State, index: int, log: Log) -> State:
    max_versions = _replace_at(
        state.max_versions, index, max(state.max_versions[index], len(log))
    )
    return state._replace(
        nodes=_replace_log(state.nodes, index, log), max_versions=max_versions
    )


def _replace_at(pair: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _replace_log(pair: tuple[Log, Log], index: int, value: Log) -> tuple[Log, Log]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
