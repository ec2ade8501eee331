"""Tell callers where to connect, and the platform whether this node is ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_node.platform.node_answers import JSON_HEADERS, encode_addresses

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node

KEEP_MS = 1_000.0
"""How long callers keep an answer. Some keep it three times as long; a node that dies
is on lists for that long, so the time is as short as a caller's second question a
second is cheap."""
MOST_ADDRESSES = 64


class DirectoryDoor:
    """Name the nodes that take calls now."""

    def __init__(
        self, *, membership: Membership, is_serving: Callable[[], bool], keep_ms: float
    ) -> None:
        self._membership = membership
        self._is_serving = is_serving
        self._keep_ms = min(KEEP_MS, keep_ms)

    async def resolve(self, request: web.Request) -> web.Response:
        """Name the nodes that a caller may use."""
        nodes = self._serving_nodes()
        if not nodes:
            return web.Response(status=503)
        body = encode_addresses(nodes[:MOST_ADDRESSES], keep_ms=self._keep_ms)
        return web.Response(body=body, headers=JSON_HEADERS)

    async def ready(self, request: web.Request) -> web.Response:
        """Tell whether this node takes calls."""
        return web.Response(status=200 if self._is_serving() else 503)

    def _serving_nodes(self) -> list[Node]:
        own = self._membership.own
        nodes = [
            node
            for node in self._membership.alive()
            if node.node_id != own.node_id and self._membership.has_heard(node.node_id)
        ]
        if self._is_serving():
            nodes.append(own)
        return nodes
