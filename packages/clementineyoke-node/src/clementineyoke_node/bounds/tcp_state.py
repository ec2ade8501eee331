"""What the system knows of a TCP connection before the event loop has read it."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import asyncio

# struct tcp_info of Linux
_TCP_INFO: int | None = getattr(socket, "TCP_INFO", None)
_INFO_BYTES = 236
_MIN_INFO_BYTES = 60
"""Older systems tell less, and not the window."""
_UNACKNOWLEDGED_OFFSET = 24
_LAST_DATA_RECEIVED_OFFSET = 52
_MAX_SEGMENT_OFFSET = 84
_UNSENT_OFFSET = 144
_WINDOW_OFFSET = 232
_FIELD_BYTES = 4
_UNKNOWN = 0
_ESTABLISHED = 1
_CLOSED = 7
_ROOM_SEGMENTS = 2
"""The acknowledgement of one segment may be delayed, which then is still counted."""


class TcpState(NamedTuple):
    """State of a connection in the system."""

    is_established: bool
    """Whether neither side has ended the connection."""
    since_data_ms: int
    """Time since the peer's last data."""
    since_received_ms: int
    """Time since the peer's last segment; its end is one."""
    has_room: bool
    """Whether the window that the peer was told takes a whole segment."""
    is_reset: bool
    """Whether the peer has reset the connection; its end alone leaves half of it."""
    has_undelivered: bool
    """Whether the peer's host lacks bytes that were written; False if unknown."""


def read_tcp_state(transport: asyncio.BaseTransport) -> TcpState | None:
    """Return the state of a connection, or None if the system does not tell it."""
    connection = transport.get_extra_info("socket")
    if connection is None or _TCP_INFO is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, _INFO_BYTES)
    except (OSError, ValueError):  # uvloop has no descriptor for a closed connection
        return None
    if len(info) < _MIN_INFO_BYTES or info[0] == _UNKNOWN:
        return None
    data_ms, received_ms = struct.unpack_from("=2I", info, _LAST_DATA_RECEIVED_OFFSET)
    return TcpState(
        is_established=info[0] == _ESTABLISHED,
        since_data_ms=data_ms,
        since_received_ms=received_ms,
        has_room=_has_room(info),
        is_reset=info[0] == _CLOSED,
        has_undelivered=_has_undelivered(info),
    )


def _has_room(info: bytes) -> bool:
    """Return whether the peer may send a segment; False where that is unknown."""
    if len(info) < _INFO_BYTES:
        return False
    (segment_bytes,) = struct.unpack_from("=I", info, _MAX_SEGMENT_OFFSET)
    (window_bytes,) = struct.unpack_from("=I", info, _WINDOW_OFFSET)
    return bool(window_bytes >= _ROOM_SEGMENTS * segment_bytes)


def _has_undelivered(info: bytes) -> bool:
    """Return whether bytes are not acknowledged, or not even sent."""
    (segments,) = struct.unpack_from("=I", info, _UNACKNOWLEDGED_OFFSET)
    if segments or len(info) < _UNSENT_OFFSET + _FIELD_BYTES:
        return bool(segments)
    (unsent_bytes,) = struct.unpack_from("=I", info, _UNSENT_OFFSET)
    return bool(unsent_bytes)
