"""Tell callers where to connect, and the platform whether this node is ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.edge.entry_nodes import choose_entry_nodes
from clementineyoke_node.platform.node_answers import JSON_HEADERS, encode_addresses

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.timers.timer_service import TimerService

KEEP_MS = 1_000.0
"""How long callers keep an answer. Some keep it three times as long; a node that dies
is on lists for that long, so the time is as short as a caller's second question a
second is cheap."""
CHOICE_MS = 100.0
"""How long a choice is kept: on 195 nodes it takes 0.13 ms, and callers ask hundreds of
times a second."""


class DirectoryApi:
    """Name the nodes that take calls now."""

    def __init__(
        self,
        *,
        membership: Membership,
        is_serving: Callable[[], bool],
        calls_per_s: Callable[[], float],
        timers: TimerService,
        keep_ms: float,
    ) -> None:
        """Take the parts; ``calls_per_s`` tells the calls of the whole fleet."""
        self._membership = membership
        self._is_serving = is_serving
        self._calls_per_s = calls_per_s
        self._timers = timers
        self._keep_ms = min(KEEP_MS, keep_ms)
        self._chosen: list[Node] = []
        self._chosen_until_ms = 0.0

    async def resolve(self, request: web.Request) -> web.Response:
        """Name the nodes that a caller may use."""
        nodes = self._entries()
        if not nodes:
            return web.Response(status=503)
        body = encode_addresses(nodes, keep_ms=self._keep_ms)
        return web.Response(body=body, headers=JSON_HEADERS)

    async def ready(self, request: web.Request) -> web.Response:
        """Tell whether this node takes calls."""
        return web.Response(status=200 if self._is_serving() else 503)

    def _entries(self) -> list[Node]:
        now_ms = self._timers.now_ms()
        if now_ms >= self._chosen_until_ms:
            self._chosen = choose_entry_nodes(
                self._serving_nodes(), calls_per_s=self._calls_per_s()
            )
            self._chosen_until_ms = now_ms + CHOICE_MS
        return self._chosen

    def _serving_nodes(self) -> list[Node]:
        own = self._membership.local_node
        nodes = [node for node in self._membership.confirmed_alive() if node != own]
        if self._is_serving():
            nodes.append(own)
        return nodes
