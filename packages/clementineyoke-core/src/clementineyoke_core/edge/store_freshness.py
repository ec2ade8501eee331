"""How old this node's knowledge of the store is, and when it is too old."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

OLDEST_TOLD_MS = 60_000
"""Ages are told up to this; anything older is as good as unknown."""
LIMIT_SHARE = 0.6
"""Share of the operator's bound at which knowledge is too old. What is left is for the
node's own call, which a slow store was seen to answer in 0.4 s."""


class ViewPart(Enum):
    """What nodes follow in the store."""

    STATE = "state"
    RUNNERS = "runners"
    EVACUATIONS = "evacuations"


class StoreAges(NamedTuple):
    """How long ago a node's view was known to be the store's newest."""

    state_ms: int
    runners_ms: int
    evacuations_ms: int = OLDEST_TOLD_MS


UNKNOWN_AGES = StoreAges(OLDEST_TOLD_MS, OLDEST_TOLD_MS)


class StoreFreshness:
    """Follow when each part of the view was last confirmed, by whomever.

    Few nodes watch the store; the others are told. A node that is cut off from those
    few would go on by an old state without any sign, seen as calls with withdrawn keys
    that still run. Each confirmation therefore travels with its age, and a node whose
    own is too old asks the store itself.
    """

    def __init__(self, *, bound_ms: float) -> None:
        self._limit_ms = LIMIT_SHARE * bound_ms
        self._confirmed_ms: dict[ViewPart, float] = {}

    def confirm(self, part: ViewPart, *, now_ms: float, age_ms: float = 0) -> None:
        """Note that the view was the store's newest some time ago."""
        known_ms = self._confirmed_ms.get(part, now_ms - OLDEST_TOLD_MS)
        self._confirmed_ms[part] = max(known_ms, now_ms - age_ms)

    def is_stale(self, part: ViewPart, *, now_ms: float) -> bool:
        """Whether the view may lack what the operator expects to be in force soon."""
        return self._age_ms(part, now_ms) > self._limit_ms

    def ages(self, *, now_ms: float) -> StoreAges:
        """Return what to tell other nodes."""
        return StoreAges(
            int(self._age_ms(ViewPart.STATE, now_ms)),
            int(self._age_ms(ViewPart.RUNNERS, now_ms)),
            int(self._age_ms(ViewPart.EVACUATIONS, now_ms)),
        )

    def _age_ms(self, followed: ViewPart, now_ms: float) -> float:
        confirmed_ms = self._confirmed_ms.get(followed)
        if confirmed_ms is None:
            return OLDEST_TOLD_MS
        return min(OLDEST_TOLD_MS, now_ms - confirmed_ms)
