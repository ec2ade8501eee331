"""HTTP endpoints for the addresses of the nodes and for the readiness of this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from clementineyoke_core.edge.entry_nodes import choose_entry_nodes
from clementineyoke_node.platform.node_responses import JSON_HEADERS, encode_addresses

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.membership import Membership
    from clementineyoke_core.node import Node
    from clementineyoke_node.timers.timer_service import TimerService

MAX_TTL_MS = 1_000.0
"""Maximum time for which callers cache an answer. Some cache it three times as long,
and a dead node stays on their lists until then. The time is short because a lookup per
second and caller is cheap."""
CHOICE_TTL_MS = 100.0
"""How long a choice is cached: with 195 nodes it takes 0.13 ms to compute, and callers
ask hundreds of times a second."""


class AddressApi:
    """Return the nodes that currently accept calls."""

    def __init__(
        self,
        *,
        membership: Membership,
        is_serving: Callable[[], bool],
        calls_per_s: Callable[[], float],
        timers: TimerService,
        max_ttl_ms: float,
    ) -> None:
        """Initialize the endpoints; ``calls_per_s`` returns the load of the fleet."""
        self._membership = membership
        self._is_serving = is_serving
        self._calls_per_s = calls_per_s
        self._timers = timers
        self._ttl_ms = min(MAX_TTL_MS, max_ttl_ms)
        self._chosen_nodes: list[Node] = []
        self._chosen_until_ms = 0.0

    async def resolve(self, request: web.Request) -> web.Response:
        """Return the addresses that a caller may use, or 503 if there are none."""
        nodes = self._choose_nodes()
        if not nodes:
            return web.Response(status=503)
        body = encode_addresses(nodes, ttl_ms=self._ttl_ms)
        return web.Response(body=body, headers=JSON_HEADERS)

    async def ready(self, request: web.Request) -> web.Response:
        """Return 200 if this node accepts calls, otherwise 503."""
        return web.Response(status=200 if self._is_serving() else 503)

    def _choose_nodes(self) -> list[Node]:
        now_ms = self._timers.now_ms()
        if now_ms >= self._chosen_until_ms:
            self._chosen_nodes = choose_entry_nodes(
                self._serving_nodes(), calls_per_s=self._calls_per_s()
            )
            self._chosen_until_ms = now_ms + CHOICE_TTL_MS
        return self._chosen_nodes

    def _serving_nodes(self) -> list[Node]:
        local_node = self._membership.local_node
        nodes = [
            node for node in self._membership.confirmed_alive() if node != local_node
        ]
        if self._is_serving():
            nodes.append(local_node)
        return nodes
