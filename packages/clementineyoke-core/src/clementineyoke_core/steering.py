"""Selection of the nodes that a caller should connect to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from clementineyoke_core.node import Node

MIN_NODES = 3
REQUESTS_PER_S_PER_NODE = 13.0
ANSWER_TTL_MS = 10_000


class NodeSelection(NamedTuple):
    """An ordered list of nodes and how long the caller may use it."""

    nodes: list[Node]
    keep_ms: int


class Steering:
    """Select few nodes for each team.

    With few nodes per team, few messages are needed for its rate limit. At the home of
    the chat's runner a slot request needs no message at all, so that node comes first.
    The other nodes serve as fallbacks and are spread over availability zones.
    """

    def __init__(
        self,
        *,
        node_rate_per_s: float = REQUESTS_PER_S_PER_NODE,
        keep_ms: int = ANSWER_TTL_MS,
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
    ) -> NodeSelection:
        """Return the team's nodes, the home of the chat's runner first.

        The others are rotated by a number that varies between answers: callers use the
        first address, so without it one node would serve a whole team.
        """
        node_count = max(MIN_NODES, math.ceil(team_rate_per_s / self._node_rate_per_s))
        ranked = sorted(alive, key=lambda node: hash_text(f"{team}\0{node.node_id}"))
        chosen = spread_over_zones(ranked)[:node_count]
        first = [node for node in alive if node.node_id == chat_home]
        rest = [node for node in chosen if node.node_id != chat_home]
        start = rotation % max(1, len(rest))
        return NodeSelection(first + rest[start:] + rest[:start], self._keep_ms)


def spread_over_zones(ranked: list[Node]) -> list[Node]:
    """Return the nodes in rounds of one node from each availability zone."""
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
