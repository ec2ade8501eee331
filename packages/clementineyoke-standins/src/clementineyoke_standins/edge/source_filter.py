"""Drops the packets that a socket receives from some addresses, as a partition does."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import Server, StreamWriter
    from collections.abc import Collection, Iterable

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
SOURCE_ADDRESS_OFFSET = 0xFFF00000 + 12
"""Offset of the source address from the start of the IPv4 header."""
WHOLE_PACKET = 0xFFFFFFFF
LINK_POLL_S = 0.01


class LinkCut(Enum):
    """What happens to open connections from addresses whose links are cut.

    New connections get no answer in any case.
    """

    SILENT = "silent"
    """They transfer nothing until the link is back."""
    RESET = "reset"
    NEW_ONLY = "new_only"
    """They go on."""


class LinkCuts:
    """The cut links of a stand-in that listens on a socket."""

    def __init__(self) -> None:
        self.sources: frozenset[str] = frozenset()
        """Addresses whose packets are dropped."""
        self._silent_sources: frozenset[str] = frozenset()
        """Addresses to which nothing is sent either."""

    def begin(
        self,
        server: Server | None,
        writers: Iterable[StreamWriter],
        addresses: Collection[str],
        how: LinkCut,
    ) -> None:
        """Cut the links to some addresses, in place of earlier ones."""
        self.sources = frozenset(addresses)
        is_silent = how is LinkCut.SILENT
        self._silent_sources = self.sources if is_silent else frozenset()
        self.filter_listener(server)
        for writer in list(writers):
            sock = writer.get_extra_info("socket")
            if writer.is_closing() or sock.fileno() < 0:
                continue
            is_cut = source_of(writer) in self.sources
            if is_cut and how is LinkCut.RESET:
                reset_connection(writer)
            elif how is not LinkCut.NEW_ONLY or not is_cut:
                drop_sources(sock, self._silent_sources)

    def filter_listener(self, server: Server | None) -> None:
        """Apply the cut to new connections, also after the server has restarted."""
        if server is not None:
            listener = server.sockets[0]._sock  # type: ignore[attr-defined]
            drop_sources(listener, self.sources)

    async def wait(self, writer: StreamWriter) -> None:
        """Wait while nothing may be sent on a connection."""
        while source_of(writer) in self._silent_sources:
            await asyncio.sleep(LINK_POLL_S)


def source_of(writer: StreamWriter) -> str:
    """Return the IP address of a connection's peer; empty if it is closed."""
    peer = writer.get_extra_info("peername")
    return str(peer[0]) if peer else ""


def reset_connection(writer: StreamWriter) -> None:
    """Reset a connection rather than closing it in order."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        reset_when_closed(sock)
    writer.transport.abort()


def reset_when_closed(sock: socket.socket) -> None:
    """Have the end of a connection reset it."""
    # With a linger time of 0, the connection is reset rather than closed.
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def drop_sources(sock: socket.socket, addresses: Collection[str]) -> None:
    """Drop all packets from IPv4 addresses.

    On a listening socket this leaves new connections without an answer, on a connected
    one it leaves what was sent unacknowledged. ``addresses`` replaces earlier ones.
    """
    if not addresses:
        with suppress(FileNotFoundError):  # there is no earlier filter
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, struct.pack("i", 0))
        return
    count = len(addresses)
    program = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS_OFFSET)]
    for index, address in enumerate(sorted(addresses)):
        value = int.from_bytes(socket.inet_aton(address), "big")
        program.append((JUMP_IF_EQUAL, count - index, 0, value))
    program += [(RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, 0)]
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in program)
    buffer = ctypes.create_string_buffer(code)
    option = struct.pack("HL", len(program), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
