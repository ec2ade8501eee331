"""UDP socket for messages between nodes: signed datagrams, request and reply."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple, Self, TypeVar

from clementineyoke_node.timers.bounded_wait import wait_for_result
from clementineyoke_wire.codec import decode, encode, message_kind
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable
    from random import Random

    from clementineyoke_core.node import Node
    from clementineyoke_wire.message_signer import MessageSigner
    from clementineyoke_wire.messages import (
        ClaimRequest,
        Message,
        ReachAsk,
        ShareAsk,
        SlotAsk,
        StreamAsk,
        TrialAsk,
    )

    Request = SlotAsk | ClaimRequest | ShareAsk | ReachAsk | StreamAsk | TrialAsk

ReplyT = TypeVar("ReplyT")
ASK_ID_BITS = 32
DATAGRAM_OVERHEAD_BYTES = 28
"""Size of the IPv4 and UDP headers, added to the size of each datagram."""
MAX_DATAGRAM_BYTES = 65_536
MAX_READS_PER_TURN = 64
"""How many waiting datagrams are read in one turn of the event loop. asyncio reads one:
while turns take 30 ms, the tenth of a queue is read after 300 ms."""


class PeerAddress(NamedTuple):
    """Source or destination of a datagram."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return ``address:port``, as used in logs."""
        return f"{self.address}:{self.port}"

    @classmethod
    def of(cls, node: Node) -> Self:
        """Return the address on which a node receives messages from peers."""
        return cls(node.address, node.peer_port)


class PeerMessage(NamedTuple):
    """A received message with its sender and the sender's incarnation."""

    peer: PeerAddress
    incarnation: int
    message: Any


class PeerSocket(asyncio.DatagramProtocol):
    """Sends messages and passes received ones to handlers or to pending requests."""

    def __init__(
        self,
        *,
        signer: MessageSigner,
        address: PeerAddress,
        incarnation: int,
        rng: Random,
    ) -> None:
        self._signer = signer
        self._address = address
        self._incarnation = incarnation
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: socket.socket | None = None
        """The transport's socket, to read what else waits there."""
        self._handlers: dict[type, Callable[[PeerMessage], None]] = {}
        self._pending_replies: dict[tuple[type, int], asyncio.Future[Any]] = {}
        self._next_ask_id = rng.getrandbits(ASK_ID_BITS)
        self.sent_bytes: Counter[str] = Counter()
        """Bytes sent per message kind, including IP and UDP headers."""
        self.received_bytes = 0

    async def __aenter__(self) -> Self:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.address, self._address.port)
        )
        self._waiting = transport.get_extra_info("socket").dup()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        if self._waiting is not None:
            self._waiting.close()
            self._waiting = None

    @property
    def own_address(self) -> str:
        """The IP address that this node sends from."""
        return self._address.address

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation that is sent with subsequent messages."""
        self._incarnation = incarnation

    def next_ask_id(self) -> int:
        """Return an id that this node has not used recently.

        The first id is random. Homes identify a slot's holder by address and id; an id
        reused from the previous process at this address would be taken for the same
        holder, so that a slot would be granted but not counted.
        """
        self._next_ask_id = (self._next_ask_id + 1) % 2**ASK_ID_BITS
        return self._next_ask_id

    def handle(
        self, message_type: type, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Register the handler for a message type."""
        self._handlers[message_type] = handler

    def send(self, peer: PeerAddress, message: Message) -> None:
        """Send a message without delivery guarantee."""
        self.send_all((peer,), message)

    def send_all(self, peers: Iterable[PeerAddress], message: Message) -> None:
        """Send a message to several peers, encoded once, without delivery guarantee."""
        if self._transport is None or self._transport.is_closing():
            return
        datagram = self._signer.sign(encode(message, incarnation=self._incarnation))
        size_bytes = len(datagram) + DATAGRAM_OVERHEAD_BYTES
        for peer in peers:
            self.sent_bytes[message_kind(message)] += size_bytes
            self._transport.sendto(datagram, peer)

    async def request(
        self,
        node: Node,
        message: Request,
        *,
        reply_type: type[ReplyT],
        timeout_ms: float,
    ) -> ReplyT:
        """Send a request to a node and return the reply.

        Raises ``TimeoutError`` if no reply arrives within ``timeout_ms``.
        """
        key = (reply_type, message.ask_id)
        future: asyncio.Future[ReplyT] = asyncio.get_running_loop().create_future()
        self._pending_replies[key] = future
        try:
            self.send(PeerAddress.of(node), message)
            return await wait_for_result(future, timeout_ms=timeout_ms)
        finally:
            del self._pending_replies[key]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport created by the event loop."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram and those that wait behind it."""
        self.process(data, addr)
        for _ in range(MAX_READS_PER_TURN - 1):
            if self._waiting is None:
                return
            try:
                data, addr = self._waiting.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return  # none is waiting
            self.process(data, addr)

    def process(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify, decode and dispatch a datagram."""
        peer = PeerAddress(addr[0], addr[1])
        self.received_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        try:
            received = decode(self._signer.verify(data, peer=str(peer)))
        except WireError as error:
            log_event(Event.DATAGRAM_REFUSED, peer=str(peer), step=error.step)
            return
        self._dispatch(PeerMessage(peer, received.incarnation, received.message))

    def _dispatch(self, received: PeerMessage) -> None:
        message = received.message
        reply_id = getattr(message, "ask_id", None)
        future = self._pending_replies.get((type(message), reply_id or 0))
        if future is not None:
            if not future.done():
                future.set_result(message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(received)
