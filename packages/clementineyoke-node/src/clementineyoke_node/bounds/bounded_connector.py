"""An aiohttp connector whose connections are bounded, in bytes and in time to open."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import TCPConnector

from clementineyoke_node.bounds.bounded_protocol import BoundedProtocol
from clementineyoke_node.runners.keep_alive_socket import open_socket
from clementineyoke_node.timers.bounded_wait import settled_timeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.tracing import Trace

    from clementineyoke_node.bounds.byte_limits import ByteLimits


class BoundedConnector(TCPConnector):
    """Opens connections within a time that a stall of the event loop does not use up.

    aiohttp's own timeout takes a host for unreachable that has accepted meanwhile.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: float,
        make_protocol: Callable[[], BoundedProtocol],
        **options: Any,
    ) -> None:
        options.setdefault("socket_factory", open_socket)
        super().__init__(limit=0, **options)
        self._connect_timeout_ms = connect_timeout_ms
        # aiohttp has no public way to set the protocol class of a connector.
        self._factory = make_protocol  # type: ignore[assignment]

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> ResponseHandler:
        async with settled_timeout(self._connect_timeout_ms):
            return await super()._create_connection(req, traces, timeout)


def make_bounded_connector(
    byte_limits: ByteLimits,
    *,
    connect_timeout_ms: float,
    protocol: Callable[..., BoundedProtocol] = BoundedProtocol,
    **options: Any,
) -> TCPConnector:
    """Return a connector whose connections are bounded, by one ``protocol`` each."""
    loop = asyncio.get_running_loop()
    return BoundedConnector(
        connect_timeout_ms=connect_timeout_ms,
        make_protocol=partial(protocol, loop=loop, byte_limits=byte_limits),
        **options,
    )
