"""A peer socket that drops what comes from the other side of a partition."""

from __future__ import annotations

import os
from pathlib import Path

from clementineyoke_node.peers.peer_socket import PeerSocket

PARTITION_FILE = "CLEMENTINEYOKE_PARTITION_FILE"


class PartitionedPeerSocket(PeerSocket):
    """Read the addresses to drop from a file, anew for each datagram.

    The file holds addresses of one side; whoever is not on it is the other side.
    """

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Drop or hand on."""
        side = _read_side()
        if (addr[0] in side) == (self.own_address in side):
            super().datagram_received(data, addr)


def _read_side() -> set[str]:
    path = Path(os.environ.get(PARTITION_FILE, ""))
    if not path.is_file():
        return set()
    return set(path.read_text(encoding="utf-8").split())
