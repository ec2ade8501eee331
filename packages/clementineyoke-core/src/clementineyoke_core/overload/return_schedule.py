"""Times at which rejected calls are told to return, spread by the pool's capacity."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.admission import LEAST_URGENT_PRIORITY
from clementineyoke_core.edge.call_rate import CallRate

if TYPE_CHECKING:
    from collections.abc import Collection, Hashable
    from random import Random

MS_PER_S = 1000.0
MIN_RETURN_MS = 50.0
"""Shortest Retry-After: a sooner return meets the same full runners."""
MAX_LEFT_SHARE = 1 / 3
"""Share of its remaining time for which a caller waits before it returns."""
OVERBOOKED_SHARE = 0.5
"""Returns that find no free capacity are spread over the time from this share of the
longest Retry-After up to that Retry-After."""
SURGE_MS = 1_000.0
"""For how long rejections of more urgent calls are assumed to go on at their present
rate. Without that assumption a less urgent call is told to return at a time that more
urgent calls take a moment later; a quarter of the returns then met no capacity."""
REJECTION_DECAY_MS = 150.0
"""Time constant of that rate. With a longer one the first less urgent calls of a surge
are told to return too soon."""
MAX_PENDING = 4_096
"""Pending returns that a node remembers, 0.8 MB; the oldest are dropped."""


class ReturnRequest(NamedTuple):
    """A rejected call that is to return later."""

    pool: str
    priority: int
    """0 is the most urgent, ``LEAST_URGENT_PRIORITY`` the least."""
    call_key: Hashable
    """The same for each repeat of a call."""
    left_ms: float
    """Time until the caller's budget or the route's timeout is used up."""
    rate_per_s: float
    """Calls per second that this node may tell to return to the pool; above 0."""
    now_ms: float


class PlannedReturn(NamedTuple):
    """When a rejected call is told to return."""

    retry_after_ms: int
    is_overbooked: bool
    """Whether all capacity that the caller can wait for is expected to be taken."""


class ReturnSchedule:
    """Tell each rejected call to return when capacity is expected for its priority.

    For each pool and priority the schedule counts the pending returns of the same or
    more urgent calls, a backlog that drains at the rate at which the pool frees
    capacity. A call returns when the backlog before it has drained, so that urgent
    calls return first and returns are as far apart as the pool can serve them. The
    random part of the time is at most the distance between two returns: the nodes of
    a fleet, which schedule independently, do not tell their calls the same moment.

    A call that is rejected again before its return is due does not count again.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._pools: dict[str, _PoolBacklog] = {}
        self._due_ms: dict[Hashable, float] = {}

    def plan(self, request: ReturnRequest) -> PlannedReturn:
        """Return the Retry-After of a rejected call, and record the return."""
        now_ms = request.now_ms
        self._drop_due(now_ms)
        earliest_ms = now_ms + MIN_RETURN_MS
        latest_ms = now_ms + _longest_ms(request.left_ms)
        pending_ms = self._due_ms.get(request.call_key, 0.0)
        if pending_ms > now_ms:
            # Either the caller came early, or this is another call with the same
            # content. The first gains nothing, and many of the second don't bunch.
            first_ms = max(earliest_ms, pending_ms)
            if first_ms >= latest_ms:
                # This caller cannot wait as long as the one that came first.
                spread_ms = self.spread_ms(left_ms=request.left_ms)
                return PlannedReturn(spread_ms, is_overbooked=False)
            due_ms = self._rng.uniform(first_ms, latest_ms)
            return PlannedReturn(_delay_ms(due_ms, now_ms), is_overbooked=False)
        backlog = self._pools.setdefault(request.pool, _PoolBacklog())
        start_ms = earliest_ms + backlog.wait_ms(request)
        is_overbooked = start_ms > latest_ms
        if is_overbooked:
            due_ms = now_ms + self.spread_ms(left_ms=request.left_ms)
        else:
            end_ms = min(start_ms + MS_PER_S / request.rate_per_s, latest_ms)
            due_ms = self._rng.uniform(start_ms, end_ms)
            backlog.add(request)
        retry_after_ms = _delay_ms(due_ms, now_ms)
        # The time that the caller is told: a caller that comes then is not early.
        self._remember(request.call_key, now_ms + retry_after_ms)
        return PlannedReturn(retry_after_ms, is_overbooked)

    def spread_ms(self, *, left_ms: float) -> int:
        """Return a random Retry-After, in milliseconds, without planned capacity.

        ``left_ms`` is the time that the caller has left.
        """
        longest_ms = _longest_ms(left_ms)
        shortest_ms = max(MIN_RETURN_MS, OVERBOOKED_SHARE * longest_ms)
        return math.floor(self._rng.uniform(shortest_ms, longest_ms))

    def pending_count(self) -> int:
        """Return the number of pending returns that are remembered."""
        return len(self._due_ms)

    def retain(self, pools: Collection[str]) -> None:
        """Remove the backlogs of all other pools."""
        self._pools = {
            pool: backlog for pool, backlog in self._pools.items() if pool in pools
        }

    def _remember(self, call_key: Hashable, due_ms: float) -> None:
        self._due_ms.pop(call_key, None)
        self._due_ms[call_key] = due_ms
        if len(self._due_ms) > MAX_PENDING:
            del self._due_ms[next(iter(self._due_ms))]

    def _drop_due(self, now_ms: float) -> None:
        """Drop the oldest returns that are due; later ones go when they are oldest."""
        while self._due_ms:
            oldest = next(iter(self._due_ms))
            if self._due_ms[oldest] > now_ms:
                return
            del self._due_ms[oldest]


class _PoolBacklog:
    """Pending returns of a pool by priority, as a fluid that drains at a rate."""

    def __init__(self) -> None:
        priorities = range(LEAST_URGENT_PRIORITY + 1)
        self._counts = [0.0 for _ in priorities]
        """Pending returns of each priority and all more urgent ones."""
        self._added = [CallRate(decay_ms=REJECTION_DECAY_MS) for _ in priorities]
        self._updated_ms = 0.0

    def wait_ms(self, request: ReturnRequest) -> float:
        """Return the time until capacity is expected for a call."""
        self._drain(request)
        now_ms, priority = request.now_ms, request.priority
        own_ms = self._counts[priority] * MS_PER_S / request.rate_per_s
        urgent_per_s = sum(rate.per_s(now_ms=now_ms) for rate in self._added[:priority])
        urgent_share = urgent_per_s / request.rate_per_s
        if urgent_share < 1.0:
            wait_ms = own_ms / (1.0 - urgent_share)
            if wait_ms <= SURGE_MS:
                return wait_ms
        return own_ms + urgent_share * SURGE_MS

    def add(self, request: ReturnRequest) -> None:
        """Count a pending return."""
        for priority in range(request.priority, len(self._counts)):
            self._counts[priority] += 1.0
        self._added[request.priority].record(now_ms=request.now_ms)

    def _drain(self, request: ReturnRequest) -> None:
        elapsed_ms = max(0.0, request.now_ms - self._updated_ms)
        drained = elapsed_ms * request.rate_per_s / MS_PER_S
        self._counts = [max(0.0, count - drained) for count in self._counts]
        self._updated_ms = request.now_ms


def _longest_ms(left_ms: float) -> float:
    return max(MIN_RETURN_MS, MAX_LEFT_SHARE * left_ms)


def _delay_ms(due_ms: float, now_ms: float) -> int:
    return max(int(MIN_RETURN_MS), math.floor(due_ms - now_ms))
