"""The UDP socket between nodes: sealed datagrams, replies matched to asks."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple, Self, TypeVar

from clementineyoke_wire.codec import decode, encode, kind_of
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from clementineyoke_core.node import Node
    from clementineyoke_wire.messages import (
        ClaimRequest,
        Message,
        ShareAsk,
        SlotAsk,
    )
    from clementineyoke_wire.seal import Seal

    Ask = SlotAsk | ClaimRequest | ShareAsk

MS_PER_S = 1000.0
R = TypeVar("R")
ASK_ID_BITS = 32
DATAGRAM_OVERHEAD_BYTES = 28
"""IP and UDP headers, counted with each datagram."""


class PeerAddress(NamedTuple):
    """Where a datagram came from or goes to."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return the address as logs show it."""
        return f"{self.address}:{self.port}"

    @classmethod
    def of(cls, node: Node) -> Self:
        """Return where a node listens for peers."""
        return cls(node.address, node.peer_port)


class PeerMessage(NamedTuple):
    """A message with its sender."""

    peer: PeerAddress
    incarnation: int
    message: Any


class PeerSocket(asyncio.DatagramProtocol):
    """Own the socket. Handlers get messages; ``ask`` waits for the reply to one."""

    def __init__(
        self, *, seal: Seal, address: PeerAddress, incarnation: int, rng: Random
    ) -> None:
        self._seal = seal
        self._address = address
        self._incarnation = incarnation
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type, Callable[[PeerMessage], None]] = {}
        self._waiting: dict[tuple[type, int], asyncio.Future[Any]] = {}
        self._next_ask_id = rng.getrandbits(ASK_ID_BITS)
        self.sent_bytes: Counter[str] = Counter()
        """Bytes sent by message kind, headers of IP and UDP included."""
        self.received_bytes = 0

    async def __aenter__(self) -> Self:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._address.address, self._address.port)
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    @property
    def own_address(self) -> str:
        """The IP number that this node sends from."""
        return self._address.address

    def set_incarnation(self, incarnation: int) -> None:
        """Send with a new incarnation from now on."""
        self._incarnation = incarnation

    def next_ask_id(self) -> int:
        """Return a number that this node has not used lately.

        It starts anywhere: homes know a hold by address and number, and one of the
        previous process at this address would be taken for this one's, seen as a slot
        that is granted and not counted.
        """
        self._next_ask_id = (self._next_ask_id + 1) % 2**ASK_ID_BITS
        return self._next_ask_id

    def handle(
        self, message_type: type, handler: Callable[[PeerMessage], None]
    ) -> None:
        """Hand messages of a type to a handler."""
        self._handlers[message_type] = handler

    def send(self, peer: PeerAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        self.send_all((peer,), message)

    def send_all(self, peers: Iterable[PeerAddress], message: Message) -> None:
        """Send one message to many, encoded once; each may be lost."""
        if self._transport is None or self._transport.is_closing():
            return
        datagram = self._seal.sign(encode(message, incarnation=self._incarnation))
        size_bytes = len(datagram) + DATAGRAM_OVERHEAD_BYTES
        for peer in peers:
            self.sent_bytes[kind_of(message)] += size_bytes
            self._transport.sendto(datagram, peer)

    async def ask(
        self, node: Node, message: Ask, *, reply_type: type[R], timeout_ms: float
    ) -> R:
        """Send an ask to a node and return its reply.

        Raises ``TimeoutError`` without one.
        """
        key = (reply_type, message.ask_id)
        future: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        try:
            self.send(PeerAddress.of(node), message)
            return await asyncio.wait_for(future, timeout_ms / MS_PER_S)
        finally:
            del self._waiting[key]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport that the event loop made."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check, decode and hand over one datagram."""
        peer = PeerAddress(addr[0], addr[1])
        self.received_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        try:
            received = decode(self._seal.open(data, peer=str(peer)))
        except WireError as error:
            log_event(Event.DATAGRAM_REFUSED, peer=str(peer), step=error.step)
            return
        self._hand_over(PeerMessage(peer, received.incarnation, received.message))

    def _hand_over(self, received: PeerMessage) -> None:
        message = received.message
        reply_id = getattr(message, "ask_id", None)
        future = self._waiting.get((type(message), reply_id or 0))
        if future is not None:
            if not future.done():
                future.set_result(message)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(received)
