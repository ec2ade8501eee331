"""The bound on one runner's load: a set multiple of the mean, plus one slot."""

from __future__ import annotations

import math

DEFAULT_LOAD_FACTOR = 1.25
SLACK_SLOTS = 1


def bound_slots(*, mean_load: float, slots: int, factor: float) -> int:
    """Return how many requests a runner may hold at once.

    The extra slot lets an idle fleet start: a mean of zero would admit nothing.
    """
    bound = math.floor(factor * mean_load) + SLACK_SLOTS
    return min(slots, bound)
