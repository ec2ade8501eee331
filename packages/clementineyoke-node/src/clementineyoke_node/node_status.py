"""A node's status document and the update of its gauges."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from clementineyoke_node.node_io import NodeIo
    from clementineyoke_node.node_state import NodeState


def describe_node(state: NodeState, io: NodeIo, *, is_leaving: bool) -> dict[str, Any]:
    """Return the status document for operators."""
    membership = state.membership
    return {
        "node": state.config.node_id,
        "started": membership.initial_incarnation,
        "leaving": is_leaving,
        "settings_version": io.settings.log.version,
        "in_flight": state.in_flight.count,
        "slots_held": io.broker.lease_count(),
        "claim_writes": io.claim_home.writes,
        "control_sent_bytes": dict(io.socket.sent_bytes),
        "control_received_bytes": io.socket.received_bytes,
        "nodes": {
            node.node_id: membership.state(node.node_id).name.lower()
            for node in membership.nodes()
        },
        "runners": {
            entry.runner.runner_id: {
                "state": entry.state.value,
                "pool": entry.runner.pool,
                "home": state.region_homes.home_of(entry.runner.runner_id),
            }
            for entry in state.table.entries()
        },
        "homed_slots": io.slot_home.loads(),
    }


def copy_metrics(state: NodeState, io: NodeIo) -> None:
    """Set the gauges to the current values."""
    metrics = state.metrics
    metrics.in_flight.set({}, state.in_flight.count)
    metrics.settings_version.set({}, io.settings.log.version)
    metrics.claim_writes.set({}, io.claim_home.writes)
    for kind, sent in io.socket.sent_bytes.items():
        metrics.control_sent_bytes.set({"kind": kind}, sent)
    for runner_id, in_use in io.slot_home.loads().items():
        metrics.runner_slots.set({"runner": runner_id}, in_use)
