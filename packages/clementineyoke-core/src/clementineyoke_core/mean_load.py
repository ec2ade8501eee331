"""Each node's estimate of a pool's mean load, by averaging with random peers."""

from __future__ import annotations

from typing import NamedTuple

LEAK = 0.05
"""Share of a node's own figures mixed in each round; heals what lost replies cost."""
SMOOTHING = 0.3
"""Weight of the newest exchange in the estimate."""


class LoadShare(NamedTuple):
    """A node's share of a pool's totals; only the quotient has a meaning."""

    load: float
    runners: float


NOTHING = LoadShare(0.0, 0.0)


class MeanLoadEstimator:
    """Push-pull averaging of (load, runners) pairs, one pair a pool.

    Each exchange moves both sides to their average, so sums are conserved and the
    quotient converges to the region's mean within a few rounds, for a few bytes a
    round however large the fleet is.

    The estimate is a smoothed one of what exchanges left behind. Read at once, a
    home's own grants would stand in its share undiluted: each grant would raise the
    home's bound by more than a slot, and a hot runner would never refuse, seen on the
    bench as loads 13 slots over the bound.
    """

    def __init__(self, *, leak: float = LEAK, smoothing: float = SMOOTHING) -> None:
        self._leak = leak
        self._smoothing = smoothing
        self._local: dict[str, LoadShare] = {}
        self._shares: dict[str, LoadShare] = {}
        self._estimates: dict[str, float] = {}

    def set_local(self, pool: str, *, load: float, runners: float) -> None:
        """Take the node's own figures: load and number of the runners it homes."""
        old = self._local.get(pool, NOTHING)
        share = self._shares.get(pool, NOTHING)
        self._local[pool] = LoadShare(load, runners)
        self._shares[pool] = LoadShare(
            share.load + load - old.load, share.runners + runners - old.runners
        )

    def mean(self, pool: str) -> float:
        """Return the estimated load of an average runner of the pool."""
        return self._estimates.get(pool, 0.0)

    def shares(self) -> dict[str, LoadShare]:
        """Return what to send to a peer."""
        return dict(self._shares)

    def begin_round(self) -> dict[str, LoadShare]:
        """Leak toward the own figures and return what to push to a peer."""
        for pool, share in self._shares.items():
            local = self._local.get(pool, NOTHING)
            self._shares[pool] = LoadShare(
                share.load + self._leak * (local.load - share.load),
                share.runners + self._leak * (local.runners - share.runners),
            )
        return self.shares()

    def merge(self, pushed: dict[str, LoadShare]) -> dict[str, LoadShare]:
        """Answer a peer's push: return the own shares, then move half way."""
        before = self.shares()
        self._move_half_way(mine=before, theirs=pushed)
        return before

    def finish_round(
        self, *, pushed: dict[str, LoadShare], replied: dict[str, LoadShare]
    ) -> None:
        """Take a peer's reply to what was pushed."""
        self._move_half_way(mine=pushed, theirs=replied)

    def _move_half_way(
        self, *, mine: dict[str, LoadShare], theirs: dict[str, LoadShare]
    ) -> None:
        # The move is by the difference of what was exchanged, not to a value: own
        # changes made while the reply was under way would be lost otherwise.
        for pool in mine.keys() | theirs.keys():
            share = self._shares.get(pool, NOTHING)
            sent = mine.get(pool, NOTHING)
            got = theirs.get(pool, NOTHING)
            self._shares[pool] = LoadShare(
                share.load + (got.load - sent.load) / 2,
                share.runners + (got.runners - sent.runners) / 2,
            )
            self._estimate(pool, sent, got)

    def _estimate(self, pool: str, sent: LoadShare, got: LoadShare) -> None:
        runners = sent.runners + got.runners
        if runners <= 0.0:
            return
        seen = max(0.0, (sent.load + got.load) / runners)
        known = self._estimates.get(pool, seen)
        self._estimates[pool] = known + self._smoothing * (seen - known)
