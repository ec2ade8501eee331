"""What the fleet knows of one of its own nodes."""

from __future__ import annotations

from typing import NamedTuple


class Node(NamedTuple):
    """A router node, as the host list names it."""

    node_id: str
    address: str
    caller_port: int
    peer_port: int
    availability_zone: str
    region: str
    calls_per_s: int = 0
    """What its processor and link bear; 0 for a node that does not say."""
