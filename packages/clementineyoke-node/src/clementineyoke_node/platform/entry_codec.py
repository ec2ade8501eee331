"""Entries of runners and of nodes in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_node.platform.format_error import FormatError

if TYPE_CHECKING:
    from clementineyoke_node.platform.store_client import StoredEntry

LEAVING = "draining"


def decode_runner(entry: StoredEntry, *, region: str) -> RunnerRecord:
    """Decode a runner's entry; raises ``FormatError``."""
    spec = entry.spec
    try:
        address, port = split_address(spec["address"])
        runner = Runner(
            runner_id=entry.name,
            address=address,
            port=port,
            availability_zone=spec["zone"],
            region=region,
            kind=RunnerKind.ENGINE if spec.get("models") else RunnerKind.SERVICE,
            pool=spec["service"],
            slots=int(spec.get("slots") or 1),
        )
        is_leaving = spec.get("state") == LEAVING
    except (KeyError, TypeError, ValueError) as error:
        raise FormatError(
            step="decode_runner", peer=entry.name, reason=repr(error)
        ) from error
    return RunnerRecord(runner, is_leaving, entry.revision)


def encode_node(node: Node) -> dict[str, Any]:
    """Return a node's own entry."""
    return {
        "address": node.address,
        "callerPort": node.caller_port,
        "peerPort": node.peer_port,
        "zone": node.availability_zone,
        "region": node.region,
    }


def decode_node(entry: StoredEntry) -> Node:
    """Decode a node's entry; raises ``FormatError``."""
    spec = entry.spec
    try:
        return Node(
            node_id=entry.name,
            address=spec["address"],
            caller_port=int(spec["callerPort"]),
            peer_port=int(spec["peerPort"]),
            availability_zone=spec["zone"],
            region=spec["region"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise FormatError(
            step="decode_node", peer=entry.name, reason=repr(error)
        ) from error


def split_address(text: str) -> tuple[str, int]:
    """Return IP number and port of an address; raises ``ValueError``."""
    address, _, port = text.rpartition(":")
    return address, int(port)
