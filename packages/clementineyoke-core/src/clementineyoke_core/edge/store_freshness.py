"""Age of this node's view of the store, and the limit beyond which it is stale."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

MAX_REPORTED_AGE_MS = 60_000
"""Cap on the ages reported to peers; an older view counts as unknown."""
MAX_AGE_SHARE = 0.6
"""Share of the operator's bound after which a view is stale. The rest is for the node's
own call to the store, which a slow store answers in 0.4 s."""


class ViewPart(Enum):
    """Part of the store's data that nodes watch."""

    STATE = "state"
    RUNNERS = "runners"
    EVACUATIONS = "evacuations"


class StoreAges(NamedTuple):
    """Time since each part of a node's view was last confirmed to be the latest."""

    state_ms: int
    runners_ms: int
    evacuations_ms: int = MAX_REPORTED_AGE_MS


UNKNOWN_AGES = StoreAges(MAX_REPORTED_AGE_MS, MAX_REPORTED_AGE_MS)


class StoreFreshness:
    """Track when each part of the view was last confirmed, by the store or a peer.

    Few nodes watch the store; they report changes to the others. A node that is cut off
    from the watchers would silently keep using an old state, for example still accept
    withdrawn API keys. Each confirmation is therefore sent with its age, and a node
    whose latest confirmation is too old asks the store itself.
    """

    def __init__(self, *, bound_ms: float) -> None:
        self._max_age_ms = MAX_AGE_SHARE * bound_ms
        self._confirmed_ms: dict[ViewPart, float] = {}

    def confirm(self, part: ViewPart, *, now_ms: float, age_ms: float = 0) -> None:
        """Record that part of the view was the store's latest, ``age_ms`` ago."""
        known_ms = self._confirmed_ms.get(part, now_ms - MAX_REPORTED_AGE_MS)
        self._confirmed_ms[part] = max(known_ms, now_ms - age_ms)

    def is_stale(self, part: ViewPart, *, now_ms: float) -> bool:
        """Return whether the view may miss changes that should be in force by now."""
        return self._age_ms(part, now_ms) > self._max_age_ms

    def ages(self, *, now_ms: float) -> StoreAges:
        """Return the ages to report to other nodes."""
        return StoreAges(
            int(self._age_ms(ViewPart.STATE, now_ms)),
            int(self._age_ms(ViewPart.RUNNERS, now_ms)),
            int(self._age_ms(ViewPart.EVACUATIONS, now_ms)),
        )

    def _age_ms(self, part: ViewPart, now_ms: float) -> float:
        confirmed_ms = self._confirmed_ms.get(part)
        if confirmed_ms is None:
            return MAX_REPORTED_AGE_MS
        return min(MAX_REPORTED_AGE_MS, now_ms - confirmed_ms)
