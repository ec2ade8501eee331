"""Node of the router fleet."""

from __future__ import annotations

from typing import NamedTuple


class Node(NamedTuple):
    """A router node as on the host list."""

    node_id: str
    address: str
    caller_port: int
    peer_port: int
    availability_zone: str
    region: str
    calls_per_s: int = 0
    """Capacity of its processor and link in calls a second; 0 if unknown."""
