"""Prefill rates of pools, learned by this node or averaged over the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.prefill_rates import MIN_CALLS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementineyoke_core.capacity.prefill_rates import PrefillRates
    from clementineyoke_core.mean_load import MeanLoadEstimator

KEY_PREFIX = "\0prefill:"
"""Prefix of the keys under which the rates are averaged; no pool starts with NUL."""


def gossip_key(pool: str) -> str:
    """Return the key under which the rate of a pool is averaged."""
    return f"{KEY_PREFIX}{pool}"


class FleetPrefillRates:
    """Use the mean rate of the fleet until this node knows enough calls itself.

    Calls with long prompts that are not cached are rare: in a fleet of 62 nodes with 68
    long calls per second, of which one in ten is not cached, a node sees 20 of them in
    three minutes, and the fleet in three seconds. Each node weights its rate by its
    number of calls.
    """

    def __init__(
        self,
        *,
        rates: PrefillRates,
        mean_load: MeanLoadEstimator,
        count_nodes: Callable[[], int],
    ) -> None:
        self._rates = rates
        self._mean_load = mean_load
        self._count_nodes = count_nodes
        self._fleet_rates: dict[str, float] = {}

    def update(self, pools: Iterable[str]) -> None:
        """Publish what this node has learned, and adopt the mean of the fleet."""
        shares = self._mean_load.shares()
        node_count = self._count_nodes()
        fleet_rates: dict[str, float] = {}
        for pool in pools:
            key = gossip_key(pool)
            quantile = self._rates.quantile(pool)
            if quantile.calls:
                self._mean_load.set_local(
                    key,
                    load=quantile.tokens_per_ms * quantile.calls,
                    runners=quantile.calls,
                )
            mean_tokens_per_ms = self._mean_load.mean(key)
            known_calls = shares[key].runners * node_count if key in shares else 0.0
            if mean_tokens_per_ms > 0.0 and known_calls >= MIN_CALLS:
                fleet_rates[pool] = mean_tokens_per_ms
        self._fleet_rates = fleet_rates

    def tokens_per_ms(self, pool: str) -> float | None:
        """Return the rate of a pool's engines; None until enough calls are known."""
        own_tokens_per_ms = self._rates.tokens_per_ms(pool)
        if own_tokens_per_ms is not None:
            return own_tokens_per_ms
        return self._fleet_rates.get(pool)

    def pools(self) -> set[str]:
        """Return the pools whose rate is known."""
        return {*self._rates.pools(), *self._fleet_rates}
