"""Which nodes a caller should connect to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from clementineyoke_core.node import Node

FEWEST_NODES = 3
REQUESTS_PER_S_A_NODE = 13.0
KEEP_MS = 10_000


class SteeringAnswer(NamedTuple):
    """An ordered list of nodes and how long the caller may keep it."""

    nodes: list[Node]
    keep_ms: int


class Steering:
    """Order nodes for a team so that its traffic meets few of them.

    Few nodes a team means few messages for its limit; the home of the chat's runner
    first means no slot ask at all. Later entries serve when earlier ones are gone and
    lie in other availability zones first.
    """

    def __init__(
        self, *, node_rate_per_s: float = REQUESTS_PER_S_A_NODE, keep_ms: int = KEEP_MS
    ) -> None:
        self._node_rate_per_s = node_rate_per_s
        self._keep_ms = keep_ms

    def choose_nodes(
        self,
        *,
        team: str,
        team_rate_per_s: float,
        alive: list[Node],
        chat_home: str | None = None,
        rotation: int = 0,
    ) -> SteeringAnswer:
        """Return the team's nodes, the home of the chat's runner first.

        The others are turned by any number of the caller's: callers use the first
        address, and one node would carry a whole team otherwise.
        """
        wanted = max(FEWEST_NODES, math.ceil(team_rate_per_s / self._node_rate_per_s))
        ranked = sorted(alive, key=lambda node: hash_text(f"{team}\0{node.node_id}"))
        chosen = spread_over_zones(ranked)[:wanted]
        first = [node for node in alive if node.node_id == chat_home]
        rest = [node for node in chosen if node.node_id != chat_home]
        start = rotation % max(1, len(rest))
        return SteeringAnswer(first + rest[start:] + rest[:start], self._keep_ms)


def spread_over_zones(ranked: list[Node]) -> list[Node]:
    """Return the nodes so that each stretch of them lies in as many zones as it can."""
    by_zone: dict[str, list[Node]] = {}
    for node in ranked:
        by_zone.setdefault(node.availability_zone, []).append(node)
    spread: list[Node] = []
    while by_zone:
        for zone in list(by_zone):
            spread.append(by_zone[zone].pop(0))
            if not by_zone[zone]:
                del by_zone[zone]
    return spread
