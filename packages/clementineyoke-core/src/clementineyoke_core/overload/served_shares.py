"""Share of the calls of each rank that got a slot in time; the ranks that starve."""

from __future__ import annotations

import math

DECAY_MS = 2_000.0
"""Time constant of the counts. With 4 s, a rank got too little in the first seconds of
an overload, while the counts still showed the time before."""
MIN_RELATIVE_SHARE = 0.4
"""Share of a rank, relative to that of all calls, below which it starves. The operators
allow no less than a quarter, of which calls that wait in a runner may miss a part."""
PRIOR_CALLS = 1.0
"""Calls that each rank counts in addition, served like the average of all calls."""


class ServedShares:
    """Recent calls of one pool at one node, by rank.

    The reserves and the level only order the ranks: while more urgent calls fill the
    runners, the last rank gets nothing. A call of a rank that starves may ask for its
    slot like one of the most urgent rank, until the rank has its minimum again.
    """

    def __init__(self) -> None:
        self._asked: dict[int, float] = {}
        self._served: dict[int, float] = {}
        self._updated_ms = 0.0

    def record(self, rank: int, *, is_served: bool, now_ms: float) -> None:
        """Count a call; it is served if it got a slot in time."""
        self._decay(now_ms)
        self._asked[rank] = self._asked.get(rank, 0.0) + 1.0
        self._served[rank] = self._served.get(rank, 0.0) + is_served

    def is_starving(self, rank: int) -> bool:
        """Return whether a rank gets less than its minimum.

        The most urgent rank never starves, and no rank does that is served as often as
        the next more urgent one.
        """
        if rank == 0:
            return False
        share = self._share(rank)
        minimum = MIN_RELATIVE_SHARE * self._overall_share()
        return share < minimum and share < self._share(rank - 1)

    def _share(self, rank: int) -> float:
        served = self._served.get(rank, 0.0) + PRIOR_CALLS * self._overall_share()
        return served / (self._asked.get(rank, 0.0) + PRIOR_CALLS)

    def _overall_share(self) -> float:
        asked = sum(self._asked.values())
        return sum(self._served.values()) / asked if asked else 1.0

    def _decay(self, now_ms: float) -> None:
        factor = math.exp(-max(0.0, now_ms - self._updated_ms) / DECAY_MS)
        self._updated_ms = now_ms
        for counts in (self._asked, self._served):
            for rank in counts:
                counts[rank] *= factor
