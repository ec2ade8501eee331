"""Keeps connections to peers that are alive but do not read what they are sent."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_node.runners.keep_alive_socket import USER_TIMEOUT_MS

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

CHECK_INTERVAL_S = 1.0
MAX_UNANSWERED_PROBES = 1
"""A probe of a closed window may be on its way."""
NO_TIMEOUT_MS = 0
_INT = struct.Struct("i")
_TCP_INFO = struct.Struct("2x 2B 48x 2I")
"""The system's ``tcp_info`` up to ``tcpi_last_ack_recv``."""


class SendState(NamedTuple):
    """What the system knows of the bytes that a connection has not delivered yet."""

    pending_bytes: int
    retransmissions: int = 0
    """Consecutive retransmissions without an acknowledgement."""
    unanswered_probes: int = 0
    """Consecutive probes of a closed window without an acknowledgement."""
    silence_ms: int = 0
    """Time since the peer last sent or acknowledged anything."""


def user_timeout_ms(state: SendState) -> int:
    """Return the time without progress after which a connection is given up.

    The system counts this timeout from the moment at which the peer's window closes,
    whether the peer answers probes or not, so that there must be none for a peer that
    does. Probes become rare: a peer may be silent because it was not asked.
    """
    if not state.pending_bytes:
        return USER_TIMEOUT_MS
    is_answering = (
        not state.retransmissions and state.unanswered_probes <= MAX_UNANSWERED_PROBES
    )
    if is_answering or state.silence_ms < USER_TIMEOUT_MS:
        return NO_TIMEOUT_MS
    return USER_TIMEOUT_MS


class SendMonitor:
    """Lifts the user timeout of a connection while its peer is alive but does not read.

    A runner may answer before it has read a long request, or be busy. Does nothing
    where the system does not tell the state of a connection.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        on_lifted: Callable[[], None],
    ) -> None:
        """Create a monitor; ``on_lifted`` is called when it lifts the timeout."""
        self._loop = loop
        self._transport = transport
        self._on_lifted = on_lifted
        self._check: asyncio.TimerHandle | None = None
        self._timeout_ms = USER_TIMEOUT_MS

    def start(self) -> None:
        """Start to watch the call that is sent now."""
        if self._check is None:
            self._schedule()

    def stop(self) -> None:
        """Stop watching."""
        if self._check is not None:
            self._check.cancel()
            self._check = None

    def _schedule(self) -> None:
        self._check = self._loop.call_later(CHECK_INTERVAL_S, self._run_check)

    def _run_check(self) -> None:
        self._check = None
        if self._transport.is_closing():
            return
        client_socket = self._transport.get_extra_info("socket")
        try:
            state = _read_state(client_socket, self._transport)
            self._apply(user_timeout_ms(state), client_socket)
        except OSError:
            return
        if state.pending_bytes:
            self._schedule()

    def _apply(self, timeout_ms: int, client_socket: socket.socket) -> None:
        if timeout_ms == self._timeout_ms:
            return
        client_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
        self._timeout_ms = timeout_ms
        if timeout_ms == NO_TIMEOUT_MS:
            self._on_lifted()


def _read_state(
    client_socket: socket.socket, transport: asyncio.Transport
) -> SendState:
    """Return the state of a connection; raises ``OSError`` if it is not available."""
    packed = fcntl.ioctl(client_socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    (queued_bytes,) = _INT.unpack(packed)
    pending_bytes = queued_bytes + transport.get_write_buffer_size()
    if not pending_bytes:
        return SendState(0)
    info = client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(info) < _TCP_INFO.size:
        message = f"the state of a connection has {len(info)} bytes"
        raise OSError(message)
    retransmissions, unanswered_probes, data_age_ms, ack_age_ms = _TCP_INFO.unpack(info)
    silence_ms = min(data_age_ms, ack_age_ms)
    return SendState(pending_bytes, retransmissions, unanswered_probes, silence_ms)
