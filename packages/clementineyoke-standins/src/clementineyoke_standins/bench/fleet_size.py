"""Sizes of the simulated fleets."""

from __future__ import annotations

from typing import NamedTuple


class FleetSize(NamedTuple):
    """Number of nodes, and the runners of one model pool."""

    name: str
    nodes: int
    runners: int
    slots: int
    cache_chats: int
    """Chats whose context fits into the cache of a runner."""
    pools: int
    """Pools that the nodes serve; one of them is simulated."""


TODAY = FleetSize("today", nodes=9, runners=6, slots=32, cache_chats=150, pools=2)
SLICE = FleetSize("slice", nodes=137, runners=146, slots=64, cache_chats=150, pools=8)
"""One of the eight model pools of a region at the design size."""
