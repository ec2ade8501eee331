"""An aiohttp client protocol that detects truncated and unrequested responses."""

from __future__ import annotations

import re
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import ClientPayloadError

from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.bounds.bounded_protocol import BoundedProtocol

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader, TCPConnector
    from aiohttp.http import RawResponseMessage

    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.edge.address_lifetimes import AddressLifetimes

MAX_IDLE_S = 4.0
"""Runners close idle connections after a time that they need not announce. A call that
is sent while its connection is being closed is lost, so idle connections are kept only
for a short time."""
KEEP_ALIVE_MARGIN_S = 0.2
"""Deducted from the idle timeout that a runner announces: a call takes time to reach
it."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})\b", re.IGNORECASE)


class RunnerProtocol(BoundedProtocol):
    """Detects resets in responses without a length, and data that was not requested."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        byte_limits: ByteLimits,
        address_lifetimes: AddressLifetimes,
    ) -> None:
        super().__init__(loop=loop, byte_limits=byte_limits)
        self._address_lifetimes = address_lifetimes
        self._peer: tuple[str, int] = ("", 0)
        self._connected_s = 0.0
        self._last_received_s = 0.0
        self._max_idle_s = MAX_IDLE_S

    @property
    def connected_s(self) -> float:
        """Time of the loop at which the connection was opened."""
        return self._connected_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the peer's address and the time of the connection."""
        super().connection_made(transport)
        # The peer name is missing if the runner has already closed the connection.
        address, port = transport.get_extra_info("peername") or self._peer
        self._peer = (address, port)
        self._connected_s = self._last_received_s = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Record when the connection was last active."""
        self._last_received_s = self._loop.time()
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Apply the idle timeout in the response's ``Keep-Alive`` header, if any."""
        announced = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if announced is not None:
            self._max_idle_s = min(MAX_IDLE_S, int(announced[1]) - KEEP_ALIVE_MARGIN_S)
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that was reset.

        A response without a length ends with its connection. aiohttp accepts any end of
        the connection as the end of such a response: one that was truncated by a reset
        would pass as complete.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the answer was cut: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether the connection may be used for another call.

        A runner may send a second, late response. If its connection were reused, the
        next call would read it, and one caller would get another caller's response.
        """
        has_unread_data = self._buffer or self._tail or self._exception is not None
        address, port = self._peer
        is_current = self._address_lifetimes.is_current(
            address, port, connected_s=self._connected_s
        )
        is_fresh = self._loop.time() < self._last_received_s + self._max_idle_s
        return (
            super().is_connected() and is_current and is_fresh and not has_unread_data
        )


def make_connector(
    *,
    keeps_alive: bool,
    byte_limits: ByteLimits,
    address_lifetimes: AddressLifetimes,
    connect_timeout_ms: float,
    local_address: tuple[str, int] | None = None,
) -> TCPConnector:
    """Return a connector to runners that keeps idle connections, or closes each one."""
    options: dict[str, Any] = (
        {"keepalive_timeout": MAX_IDLE_S} if keeps_alive else {"force_close": True}
    )
    return make_bounded_connector(
        byte_limits,
        protocol=partial(RunnerProtocol, address_lifetimes=address_lifetimes),
        connect_timeout_ms=connect_timeout_ms,
        local_addr=local_address,
        **options,
    )
