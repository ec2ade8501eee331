"""Client sockets that notice a dead peer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohappyeyeballs import AddrInfoType

SILENCE_LIMIT_MS = 2_500
"""How long sent bytes may stay unacknowledged: longer than a lossy link needs to send
a packet twice, shorter than what callers wait for."""
IDLE_BEFORE_PROBE_S = 1
PROBE_INTERVAL_S = 1
MOST_PROBES = 2


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket whose connection fails when its peer has gone silent.

    A peer that lost power or lies behind a partition answers nothing, and a kept
    connection to it hangs: seen as watches that report no change for minutes.
    """
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_BEFORE_PROBE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MOST_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened
