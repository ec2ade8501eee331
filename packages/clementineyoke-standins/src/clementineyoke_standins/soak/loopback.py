"""Loopback addresses and free ports for fleets in tests."""

from __future__ import annotations

import itertools
import os
import socket
from typing import NamedTuple

FIRST_PORT = 10_000
PORT_COUNT = 22_000
"""Size of the range, which ends below the kernel's range of ephemeral ports."""
PORT_STRIDE = 307
"""Distance between the first ports of two processes; a fleet uses about 12."""
_offsets = itertools.count(os.getpid() * PORT_STRIDE)


class Endpoint(NamedTuple):
    """An address and port to listen on."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return IP:PORT."""
        return f"{self.address}:{self.port}"


def node_address(number: int) -> str:
    """Return the IP address of a node; all nodes use the same ports."""
    return f"127.0.1.{number + 1}"


def free_ports(count: int) -> list[int]:
    """Return distinct ports that are unused on loopback for both TCP and UDP.

    Ports chosen by the kernel are unsuitable: consecutive requests sometimes return the
    same port, and before a port is used, the kernel may assign it to an outgoing
    connection. The first node of a fleet then cannot open its listeners.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_offsets) % PORT_COUNT
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
