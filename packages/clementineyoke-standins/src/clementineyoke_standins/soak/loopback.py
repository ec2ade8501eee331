"""Addresses of a soak: all on loopback, ports free when they were looked for."""

from __future__ import annotations

import itertools
import os
import socket
from typing import NamedTuple

FIRST_PORT = 10_000
PORTS = 22_000
"""The range below the one from which the kernel takes ports for connections."""
STRIDE = 307
"""Between the first ports of two processes; a fleet takes a dozen."""
_turns = itertools.count(os.getpid() * STRIDE)


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
    """Return different ports that nothing on loopback uses, for TCP and UDP.

    Ports that the kernel hands out are wrong for this. Asked one after the other it
    names one twice now and then, and between the look and the use it may give one to
    an outgoing connection: seen as a fleet whose first node cannot open its doors.
    """
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + next(_turns) % PORTS
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
