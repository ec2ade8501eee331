"""Client sockets that detect unresponsive peers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType

USER_TIMEOUT_MS = 2_500
"""Maximum time without acknowledgement: enough to send a packet twice on a lossy link
and for a peer that is silent for a second or two, but less than callers wait.

Linux applies it to keep-alive probes as well, in place of their number.
"""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
MAX_KEEPALIVE_PROBES = 2
"""For systems that do not apply the user timeout to probes."""


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket whose connection fails when its peer stops responding.

    A peer that lost power or is behind a network partition sends nothing, so that a
    persistent connection to it hangs and watches report no change for minutes.
    """
    family, kind, protocol, _, _ = address
    client_socket = socket.socket(family, kind, protocol)
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    client_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    client_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES
    )
    client_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return client_socket
