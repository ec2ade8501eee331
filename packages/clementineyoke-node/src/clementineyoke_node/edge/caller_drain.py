"""Closes callers' connections when a node leaves, without losing what is under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web


class CallerDrain:
    """Close the connections of callers, each once it has nothing left to do.

    A call counts as answered for the server when its handler returns: its response may
    still wait in the connection's buffer, for as long as its caller reads slowly. And a
    request may have been read although its handler has not begun.
    """

    def __init__(
        self,
        *,
        connections: Callable[[], list[web.RequestHandler]],
        is_busy: Callable[[web.RequestHandler], bool],
    ) -> None:
        """Create a drain; ``is_busy`` returns whether a handler is at work."""
        self._connections = connections
        self._is_busy = is_busy
        self._closing: set[web.RequestHandler] = set()

    @property
    def unsent_count(self) -> int:
        """Number of connections with a response that was not sent to its end."""
        return sum(map(_has_unsent, self._connections()))

    def run_round(self) -> bool:
        """Close what is idle, and return whether no connection is left.

        aiohttp's own shutdown stops reading idle connections and leaves them open until
        the process ends: a call that arrived on one was accepted and never answered.
        So a connection is told to end after the requests that it has read, and it is
        closed in a later round if there were none.
        """
        connections = self._connections()
        idle = {
            connection
            for connection in connections
            if not self._is_busy(connection) and not _has_unsent(connection)
        }
        for connection in idle:
            if connection in self._closing:
                connection.force_close()
            else:
                connection.close()
        self._closing = idle
        return not connections


def _has_unsent(connection: web.RequestHandler) -> bool:
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
