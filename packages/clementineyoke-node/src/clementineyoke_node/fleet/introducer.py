"""Introduce nodes to each other in deployments without a host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.node import Node
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import NodeHello

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementineyoke_core.membership import Membership
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket


class Introducer:
    """Sends a hello to the nodes listed in the store and replies to received ones.

    Each node reads the list only when it starts. Later nodes introduce themselves by a
    hello, which costs one datagram per peer instead of a watch on every node. A lost
    hello is repeated when gossip from an unknown peer arrives.
    """

    def __init__(
        self,
        *,
        socket: PeerSocket,
        membership: Membership,
        on_change: Callable[[], None],
    ) -> None:
        self._socket = socket
        self._membership = membership
        self._on_change = on_change
        socket.handle(NodeHello, self._receive)

    def add_nodes(self, nodes: Iterable[Node]) -> None:
        """Add nodes to the membership and send each of them a hello."""
        changed = False
        for node in nodes:
            if node.node_id == self._membership.local_node.node_id:
                continue
            changed = self._membership.add(node) or changed
            self._send(PeerAddress.of(node), is_reply=False)
        if changed:
            self._on_change()

    def send_hello(self, peer: PeerAddress) -> None:
        """Send a hello to an address."""
        self._send(peer, is_reply=False)

    def _send(self, peer: PeerAddress, *, is_reply: bool) -> None:
        local_node = self._membership.local_node
        hello = NodeHello(
            is_reply,
            local_node.node_id,
            local_node.address,
            local_node.caller_port,
            local_node.peer_port,
            local_node.availability_zone,
            local_node.region,
            local_node.calls_per_s,
        )
        self._socket.send(peer, hello)

    def _receive(self, received: PeerMessage) -> None:
        hello: NodeHello = received.message
        if hello.node_id == self._membership.local_node.node_id:
            return
        node = Node(
            hello.node_id,
            hello.address,
            hello.caller_port,
            hello.peer_port,
            hello.availability_zone,
            hello.region,
            hello.calls_per_s,
        )
        is_new = self._membership.add(node)
        is_back = self._membership.record_message(
            node.node_id, incarnation=received.incarnation
        )
        if not hello.is_reply:
            self._send(received.peer, is_reply=True)
        if is_new or is_back:
            log_event(Event.HOSTS_CHANGED, node=node.node_id, address=node.address)
            self._on_change()
