"""A peer socket that drops datagrams from the other side of a network partition."""

from __future__ import annotations

import os
from pathlib import Path

from clementineyoke_node.peers.peer_socket import PeerSocket

PARTITION_FILE = "CLEMENTINEYOKE_PARTITION_FILE"


class PartitionedPeerSocket(PeerSocket):
    """Drop datagrams between the two sides of a partition that is defined in a file.

    The file lists the addresses of one side; all other addresses are on the other side.
    It is read again for each datagram. Without a file there is no partition.
    """

    def process(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram unless it comes from the other side."""
        side = _read_side()
        if (addr[0] in side) == (self.own_address in side):
            super().process(data, addr)


def _read_side() -> set[str]:
    path = Path(os.environ.get(PARTITION_FILE, ""))
    if not path.is_file():
        return set()
    return set(path.read_text(encoding="utf-8").split())
