"""Rate at which the engines of a pool process prompts, learned from first events."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

MIN_PREFILL_TOKENS = 3_000
"""Shorter prompts are answered in a time that depends on the rest of the way."""
MIN_CALLS = 20
MAX_CALLS = 64
"""Calls of a pool that are remembered."""
QUANTILE = 0.9
"""Most calls wait behind others on the runner, which makes the rate look lower."""
MAX_POOLS = 1_024
"""Pools with a learned rate, 1 MB in all; a full table is cleared."""


class PrefillRate(NamedTuple):
    """A learned prefill rate."""

    tokens_per_ms: float
    recorded_ms: float
    """Monotonic time of the newest call that it was learned from."""


class RateQuantile(NamedTuple):
    """The high quantile of the known calls, however few they are."""

    tokens_per_ms: float
    calls: int
    """Number of calls that it was computed from."""


NO_CALLS = RateQuantile(0.0, 0)


class PrefillRates:
    """Learn the prefill rate of each pool as a high quantile over recent calls."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}
        self._quantiles: dict[str, RateQuantile] = {}
        self._recorded_ms: dict[str, float] = {}

    def record_first_event(
        self, pool: str, *, prefill_tokens: int, latency_ms: float, now_ms: float
    ) -> None:
        """Record the time from the start of an attempt to its first event."""
        if prefill_tokens < MIN_PREFILL_TOKENS or latency_ms <= 0.0:
            return
        if pool not in self._samples and len(self._samples) >= MAX_POOLS:
            self._samples.clear()
            self._quantiles.clear()
            self._recorded_ms.clear()
        samples = self._samples.setdefault(pool, deque(maxlen=MAX_CALLS))
        samples.append(prefill_tokens / latency_ms)
        index = math.ceil(QUANTILE * (len(samples) - 1))
        self._quantiles[pool] = RateQuantile(sorted(samples)[index], len(samples))
        self._recorded_ms[pool] = now_ms

    def get(self, pool: str) -> PrefillRate | None:
        """Return the rate of a pool; None until enough calls are known."""
        quantile = self.quantile(pool)
        if quantile.calls < MIN_CALLS:
            return None
        return PrefillRate(quantile.tokens_per_ms, self._recorded_ms[pool])

    def quantile(self, pool: str) -> RateQuantile:
        """Return what is known of a pool, also from few calls."""
        return self._quantiles.get(pool, NO_CALLS)

    def tokens_per_ms(self, pool: str) -> float | None:
        """Return the prompt tokens that an engine of a pool processes in a ms."""
        rate = self.get(pool)
        return None if rate is None else rate.tokens_per_ms

    def pools(self) -> list[str]:
        """Return the pools whose rate is known."""
        return [pool for pool in self._quantiles if self.get(pool) is not None]
