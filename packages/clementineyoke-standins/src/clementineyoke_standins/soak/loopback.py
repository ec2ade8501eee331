"""Loopback addresses and free ports for fleets in tests."""

from __future__ import annotations

import itertools
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_PORT = 10_000
BLOCK_PORTS = 200
BLOCKS = 110
"""Number of blocks of ports, which end below the kernel's range of ephemeral ports."""
MAX_HELD_BLOCKS = 4
"""Blocks that a process holds; their ports outlast the fleets that run at once."""


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
    return list(itertools.islice(filter(_is_free, _claimed_ports), count))


def _claim_ports() -> Iterator[int]:
    """Yield the ports of one block after another that no other process holds.

    A port that is free when it is selected may be in use when it is opened, if another
    process selects it meanwhile.
    """
    held: deque[socket.socket] = deque()
    for number in itertools.count(os.getpid()):
        block = number % BLOCKS
        claim = _claim_block(block)
        if claim is None:
            continue
        held.append(claim)
        if len(held) > MAX_HELD_BLOCKS:
            held.popleft().close()
        first = FIRST_PORT + block * BLOCK_PORTS
        yield from range(first, first + BLOCK_PORTS)


def _claim_block(block: int) -> socket.socket | None:
    """Return a socket that holds a block until it is closed; None if it is held."""
    claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        # The kernel frees an abstract name when its process ends.
        claim.bind(f"\0clementineyoke-ports-{block}")
    except OSError:
        claim.close()
        return None
    return claim


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


_claimed_ports = _claim_ports()
