"""A TCP proxy on loopback that delays, resets or blocks connections."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, Self

from clementineyoke_standins.edge.source_filter import (
    LinkCuts,
    reset_connection,
    source_of,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from clementineyoke_standins.edge.source_filter import LinkCut
    from clementineyoke_standins.soak.loopback import Endpoint

CHUNK_BYTES = 65_536
DELAY_S = 0.15
"""Much longer than a loopback round trip, much shorter than any timeout of a node."""


class LinkFault(Enum):
    """Faults that the proxy injects into its connections."""

    DELAY = "delay"
    RESET = "reset"
    """Resets open connections, and new ones as soon as they are accepted."""
    BLOCK_TO_TARGET = "cut_there"
    """Drops all bytes to the target; bytes from the target still pass."""
    BLOCK_FROM_TARGET = "cut_back"
    """Drops all bytes from the target; bytes to the target still pass."""
    SILENT = "silent"
    """Drops all bytes in both directions."""


BLOCKING_TO_TARGET = frozenset((LinkFault.BLOCK_TO_TARGET, LinkFault.SILENT))
BLOCKING_FROM_TARGET = frozenset((LinkFault.BLOCK_FROM_TARGET, LinkFault.SILENT))


class FaultProxy:
    """Forward connections to a target and inject faults into them.

    A connection that a fault has blocked stays blocked after the fault: bytes were lost
    on it, and a node can detect that only by its own timeout.
    """

    def __init__(self, *, listen: Endpoint, target: Endpoint) -> None:
        self.listen = listen
        self.target = target
        self.fault: LinkFault | None = None
        self.sources: dict[int, str] = {}
        """Address that opened each connection, by its port towards the target."""
        self._link_cuts = LinkCuts()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and reset all connections."""
        self.stop()

    async def start(self) -> None:
        """Listen, for the first time or after ``stop``."""
        self._server = await asyncio.start_server(
            self._serve, self.listen.address, self.listen.port
        )
        if self._link_cuts.sources:
            self._link_cuts.filter_listener(self._server)

    def stop(self, *, is_orderly: bool = False) -> None:
        """Stop listening, as if the target had crashed.

        All connections are reset, unless ``is_orderly`` is set: then each of them ends
        as the target ended it.
        """
        if self._server is not None:
            self._server.close()
            self._server = None
        if not is_orderly:
            self._reset_all()

    def start_fault(self, fault: LinkFault) -> None:
        """Start a fault, which also affects open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def cut_links(self, addresses: Collection[str], how: LinkCut) -> None:
        """Cut the links to some addresses, or end an earlier cut."""
        self._link_cuts.begin(self._server, self._writers, addresses, how)

    def clear_fault(self) -> None:
        """Stop the fault for new connections."""
        self.fault = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        if self.fault is LinkFault.RESET:
            self._reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._reset(writer)  # show the caller that the target is down
            return
        self._writers.add(target_writer)
        local_port = target_writer.get_extra_info("sockname")[1]
        self.sources[local_port] = source_of(writer)
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, BLOCKING_TO_TARGET),
                self._pump(target_reader, writer, BLOCKING_FROM_TARGET),
            )
        except asyncio.CancelledError:
            return  # the soak has ended

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
                await self._link_cuts.wait(writer)
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            self._reset(writer)  # forward a reset from one side to the other
            return
        if not is_blocked:
            self._writers.discard(writer)
            writer.close()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            self._reset(writer)

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        reset_connection(writer)
