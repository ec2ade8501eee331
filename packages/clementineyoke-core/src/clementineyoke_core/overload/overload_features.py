"""Features for overload and uneven runners, each switched on by settings."""

from __future__ import annotations

from typing import NamedTuple


class OverloadFeatures(NamedTuple):
    """Features that are in force on a node; all nodes of a fleet have the same."""

    priority_admission: bool = False
    """Pools with routes of different priorities reject less urgent calls first."""
    return_schedule: bool = False
    """Rejected calls are told to return when the pool has room for them."""
    token_reservations: bool = False
    """Slots on engines depend on the tokens that a call adds to its runner; in pools
    with priority admission or whose runners report their speed."""
    speed_weighting: bool = False
    """Runners that are slow at the moment get fewer calls; in pools whose runners
    report their speed."""


NO_FEATURES = OverloadFeatures()
