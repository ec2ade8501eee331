"""Drops the packets that a socket receives from some addresses, as a partition does."""

from __future__ import annotations

import ctypes
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
SOURCE_ADDRESS_OFFSET = 0xFFF00000 + 12
"""Offset of the source address from the start of the IPv4 header."""
WHOLE_PACKET = 0xFFFFFFFF


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
