"""The node's binary with a peer socket that can be partitioned; for fault runs."""

from __future__ import annotations

import fire

from clementineyoke_node.console.main import run
from clementineyoke_node.node_service import NodeService
from clementineyoke_standins.faults.partitioned_peer_socket import (
    PartitionedPeerSocket,
)


def main() -> None:
    """Run a node as the product does, but for its socket."""
    NodeService.socket_type = PartitionedPeerSocket
    fire.Fire(run)


if __name__ == "__main__":
    main()
