"""Addresses of a soak: all on loopback, ports free when they were looked for."""

from __future__ import annotations

import socket
from typing import NamedTuple


class Endpoint(NamedTuple):
    """Where something listens."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return IP:PORT."""
        return f"{self.address}:{self.port}"


def node_address(number: int) -> str:
    """Return the IP number of a node; all nodes use the same ports."""
    return f"127.0.1.{number + 1}"


def free_ports(count: int) -> list[int]:
    """Return ports that nothing on loopback listens on."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
