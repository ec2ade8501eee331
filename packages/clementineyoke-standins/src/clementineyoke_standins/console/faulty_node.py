"""Node process whose peer socket can be partitioned, for fault runs."""

from __future__ import annotations

import fire

from clementineyoke_node.console.main import run
from clementineyoke_node.node_service import NodeService
from clementineyoke_standins.faults.partitioned_peer_socket import (
    PartitionedPeerSocket,
)


def main() -> None:
    """Run a node with ``PartitionedPeerSocket`` instead of the product's socket."""
    NodeService.socket_type = PartitionedPeerSocket
    fire.Fire(run)


if __name__ == "__main__":
    main()
