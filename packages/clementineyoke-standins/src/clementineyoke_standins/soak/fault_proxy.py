"""A TCP proxy on loopback that delays, resets, cuts or silences connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from clementineyoke_standins.soak.loopback import Endpoint

CHUNK_BYTES = 65_536
DELAY_S = 0.15
"""Long against a loopback round trip, short against every time limit of a node."""


class LinkFault(Enum):
    """What happens to bytes on their way."""

    DELAY = "delay"
    RESET = "reset"
    """Open connections are reset, and new ones as soon as they are made."""
    CUT_THERE = "cut_there"
    """Nothing reaches the target; its own bytes still come back."""
    CUT_BACK = "cut_back"
    """Everything reaches the target; nothing comes back."""
    SILENT = "silent"


BLOCKS_THERE = frozenset((LinkFault.CUT_THERE, LinkFault.SILENT))
BLOCKS_BACK = frozenset((LinkFault.CUT_BACK, LinkFault.SILENT))


class FaultProxy:
    """Own a listening socket and the connections through it.

    A connection that a fault has blocked stays blocked when the fault is over: bytes
    were lost on it, and only a time limit of the node's own shows that.
    """

    def __init__(self, *, listen: Endpoint, target: Endpoint) -> None:
        self.listen = listen
        self._target = target
        self.fault: LinkFault | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Begin to listen."""
        await self.come_up()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close everything."""
        self.go_down()

    async def come_up(self) -> None:
        """Listen, for the first time or after the target was down."""
        self._server = await asyncio.start_server(
            self._serve, self.listen.address, self.listen.port
        )

    def go_down(self) -> None:
        """Take no connections and break those that there are, as a dead target does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._reset_all()

    def begin(self, fault: LinkFault) -> None:
        """Let a fault begin; open connections meet it too."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def heal(self) -> None:
        """End the fault for new connections."""
        self.fault = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self.fault is LinkFault.RESET:
            self._reset(writer)
            return
        try:
            there_reader, there_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self._reset(writer)  # the target is down: the caller sees it so
            return
        self._writers.add(there_writer)
        try:
            await asyncio.gather(
                self._pump(reader, there_writer, BLOCKS_THERE),
                self._pump(there_reader, writer, BLOCKS_BACK),
            )
        except asyncio.CancelledError:
            return  # the soak is over

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking: frozenset[LinkFault],
    ) -> None:
        is_blocked = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                is_blocked = is_blocked or self.fault in blocking
                if is_blocked:
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            self._reset(writer)  # a reset on one side is one on the other
            return
        if not is_blocked:
            self._writers.discard(writer)
            writer.close()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        held = writer.get_extra_info("socket")
        if held is not None and held.fileno() >= 0:
            # An ordinary close would end the connection in order.
            linger = struct.pack("ii", 1, 0)
            held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
