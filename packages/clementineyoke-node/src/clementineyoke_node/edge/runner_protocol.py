"""aiohttp's client protocol, made strict about what ends an answer."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler

from clementineyoke_node.runners.keep_alive_socket import open_socket

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage

    from clementineyoke_node.edge.address_lifetimes import AddressLifetimes

IDLE_KEPT_S = 4.0
"""Runners close idle connections after a time that they may not state; a call that
crosses their close is lost, so a connection is not kept for long."""
IDLE_MARGIN_S = 0.2
"""A runner that says how long it keeps idle connections is taken to close them so much
sooner: a call takes time to reach it."""
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout\s*=\s*(\d{1,6})\b", re.IGNORECASE)


class RunnerProtocol(ResponseHandler):
    """Notice resets in answers without a length, and bytes that nobody asked for."""

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, tenure: AddressLifetimes
    ) -> None:
        super().__init__(loop=loop)
        self._tenure = tenure
        self._peer: tuple[str, int] = ("", 0)
        self._made_s = 0.0
        self._heard_s = 0.0
        self._idle_kept_s = IDLE_KEPT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note to whom the connection leads, and since when."""
        super().connection_made(transport)
        # There is no peer's name if the runner has closed the connection by now.
        address, port = transport.get_extra_info("peername") or self._peer
        self._peer = (address, port)
        self._made_s = self._heard_s = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Note since when the connection may have rested."""
        self._heard_s = self._loop.time()
        super().data_received(data)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take an answer's head, which may say how long its connection is kept."""
        said = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get("Keep-Alive", ""))
        if said is not None:
            self._idle_kept_s = min(IDLE_KEPT_S, int(said[1]) - IDLE_MARGIN_S)
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that was reset.

        An answer without a length ends with its connection. aiohttp takes any end of
        the connection for the answer's end: a reset would pass a part off as a whole.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the answer was cut: {exc!r}"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Tell whether the connection may carry one more call.

        A runner may send a second answer late. Kept for the next call, it would be
        read as that call's answer, seen as a caller with another caller's answer.
        """
        has_stray = self._buffer or self._tail or self._exception is not None
        address, port = self._peer
        is_of_tenant = self._tenure.is_current(address, port, connected_s=self._made_s)
        is_kept = self._loop.time() < self._heard_s + self._idle_kept_s
        return super().is_connected() and is_of_tenant and is_kept and not has_stray


def make_connector(
    loop: asyncio.AbstractEventLoop, *, is_kept: bool, tenure: AddressLifetimes
) -> TCPConnector:
    """Return a pool of connections to runners, or one that keeps none."""
    keeping = {"keepalive_timeout": IDLE_KEPT_S} if is_kept else {"force_close": True}
    connector = TCPConnector(limit=0, socket_factory=open_socket, **keeping)
    # aiohttp has no public way to name the protocol class of a connector.
    connector._factory = lambda: RunnerProtocol(  # type: ignore[assignment]
        loop=loop, tenure=tenure
    )
    return connector
