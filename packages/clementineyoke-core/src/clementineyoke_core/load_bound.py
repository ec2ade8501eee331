"""Bound on a runner's load: a multiple of the pool's mean load, plus one slot."""

from __future__ import annotations

import math
from typing import NamedTuple

DEFAULT_LOAD_FACTOR = 1.25
SLACK_SLOTS = 1
ESTIMATE_SCALE = 0.95
"""Factor applied to the estimated mean, which may be too high as well as too low.

Without it, 4.3% of grants exceed the bound of the true mean; with it, 0.6%. It lowers
the reuse of cached context from 0.907 to 0.875; a factor of 0.9 lowers it to 0.839.
"""


class LoadBound(NamedTuple):
    """Parameters of the bound on a runner's load."""

    factor: float = DEFAULT_LOAD_FACTOR
    slack_slots: int = SLACK_SLOTS
    queue_share: float = 0.0
    """Calls that may queue at a runner, as a share of its slots."""


DEFAULT_BOUND = LoadBound()


def compute_load_bound(
    *,
    mean_load: float,
    slots: int,
    factor: float,
    slack_slots: int = SLACK_SLOTS,
    queue_share: float = 0.0,
) -> int:
    """Return how many requests a runner may hold at once.

    Without the extra slot an idle fleet would admit nothing, as its mean load is zero.
    """
    bound = math.floor(factor * mean_load) + slack_slots
    max_in_use = slots + math.floor(queue_share * slots)
    return min(max_in_use, bound)


def compute_home_bound(
    *,
    estimated_mean: float,
    seen_mean: float,
    slots: int,
    load_bound: LoadBound = DEFAULT_BOUND,
) -> int:
    """Return the bound from the larger of a home's estimate and a request's mean."""
    mean_load = max(estimated_mean * ESTIMATE_SCALE, seen_mean)
    return compute_load_bound(
        mean_load=mean_load,
        slots=slots,
        factor=load_bound.factor,
        slack_slots=load_bound.slack_slots,
        queue_share=load_bound.queue_share,
    )
