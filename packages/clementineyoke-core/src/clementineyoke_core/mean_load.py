"""Gossip-based estimate of a pool's mean load, by averaging with random peers."""

from __future__ import annotations

from typing import NamedTuple

LEAK = 0.05
"""Weight of a node's local values in each round; corrects errors from lost replies."""
SMOOTHING = 0.3
"""Weight of the latest exchange in the estimate."""


class LoadShare(NamedTuple):
    """A node's share of a pool's totals; only the quotient is meaningful."""

    load: float
    runners: float


ZERO_SHARE = LoadShare(0.0, 0.0)


class MeanLoadEstimator:
    """Push-pull averaging of (load, runners) pairs, one pair per pool.

    Each exchange moves both sides to their average, so sums are conserved and the
    quotient converges to the region's mean within a few rounds. A round costs a few
    bytes, whatever the size of the fleet.

    The estimate is an exponential moving average over exchanges, not the quotient of
    the local share. A home's own grants enter its share undiluted, so with the quotient
    each grant would raise the home's bound by more than a slot: an overloaded runner
    would never refuse, and loads would rise 13 slots over the bound.
    """

    def __init__(self, *, leak: float = LEAK, smoothing: float = SMOOTHING) -> None:
        self._leak = leak
        self._smoothing = smoothing
        self._local: dict[str, LoadShare] = {}
        self._shares: dict[str, LoadShare] = {}
        self._estimates: dict[str, float] = {}

    def set_local(self, pool: str, *, load: float, runners: float) -> None:
        """Set the load and number of the runners whose home is this node."""
        old = self._local.get(pool, ZERO_SHARE)
        share = self._shares.get(pool, ZERO_SHARE)
        self._local[pool] = LoadShare(load, runners)
        self._shares[pool] = LoadShare(
            share.load + load - old.load, share.runners + runners - old.runners
        )

    def remove(self, pool: str) -> None:
        """Remove a pool, so that it takes no more room in the messages to peers."""
        self._local.pop(pool, None)
        self._shares.pop(pool, None)
        self._estimates.pop(pool, None)

    def mean(self, pool: str) -> float:
        """Return the estimated load of an average runner of the pool."""
        return self._estimates.get(pool, 0.0)

    def shares(self) -> dict[str, LoadShare]:
        """Return the share of each pool, to be sent to a peer."""
        return dict(self._shares)

    def begin_round(self) -> dict[str, LoadShare]:
        """Move shares toward the local values and return them as the push to a peer."""
        for pool, share in self._shares.items():
            local = self._local.get(pool, ZERO_SHARE)
            self._shares[pool] = LoadShare(
                share.load + self._leak * (local.load - share.load),
                share.runners + self._leak * (local.runners - share.runners),
            )
        return self.shares()

    def merge(self, pushed: dict[str, LoadShare]) -> dict[str, LoadShare]:
        """Merge a peer's push and return the shares held before, as the reply."""
        before = self.shares()
        self._average(local=before, remote=pushed)
        return before

    def finish_round(
        self, *, pushed: dict[str, LoadShare], replied: dict[str, LoadShare]
    ) -> None:
        """Merge a peer's reply to the pushed shares.

        Pools that were removed since the push are left out.
        """
        kept = {pool: share for pool, share in pushed.items() if pool in self._shares}
        removed = pushed.keys() - kept.keys()
        received = {
            pool: share for pool, share in replied.items() if pool not in removed
        }
        self._average(local=kept, remote=received)

    def _average(
        self, *, local: dict[str, LoadShare], remote: dict[str, LoadShare]
    ) -> None:
        # Adds half the difference of the exchanged shares instead of assigning the
        # average, which would lose local changes made while the reply was in transit.
        for pool in local.keys() | remote.keys():
            if pool in local and pool not in self._shares:
                # Removed while the reply was in transit.
                continue
            share = self._shares.get(pool, ZERO_SHARE)
            sent = local.get(pool, ZERO_SHARE)
            received = remote.get(pool, ZERO_SHARE)
            self._shares[pool] = LoadShare(
                share.load + (received.load - sent.load) / 2,
                share.runners + (received.runners - sent.runners) / 2,
            )
            self._update_estimate(pool, sent, received)

    def _update_estimate(self, pool: str, sent: LoadShare, received: LoadShare) -> None:
        runners = sent.runners + received.runners
        if runners <= 0.0:
            return
        observed = max(0.0, (sent.load + received.load) / runners)
        estimate = self._estimates.get(pool, observed)
        self._estimates[pool] = estimate + self._smoothing * (observed - estimate)
