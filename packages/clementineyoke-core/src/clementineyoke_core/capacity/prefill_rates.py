"""Rate at which the engines of a pool process prompts, learned from first events."""

from __future__ import annotations

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


class PrefillRates:
    """Learn the prefill rate of each pool as a high quantile over recent calls."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}
        self._rates: dict[str, PrefillRate] = {}

    def record_first_event(
        self, pool: str, *, prefill_tokens: int, latency_ms: float, now_ms: float
    ) -> None:
        """Record the time from the start of an attempt to its first event."""
        if prefill_tokens < MIN_PREFILL_TOKENS or latency_ms <= 0.0:
            return
        if pool not in self._samples and len(self._samples) >= MAX_POOLS:
            self._samples.clear()
            self._rates.clear()
        samples = self._samples.setdefault(pool, deque(maxlen=MAX_CALLS))
        samples.append(prefill_tokens / latency_ms)
        if len(samples) >= MIN_CALLS:
            tokens_per_ms = sorted(samples)[int(QUANTILE * (len(samples) - 1))]
            self._rates[pool] = PrefillRate(tokens_per_ms, now_ms)

    def get(self, pool: str) -> PrefillRate | None:
        """Return the rate of a pool; None until enough calls are known."""
        return self._rates.get(pool)

    def tokens_per_ms(self, pool: str) -> float | None:
        """Return the prompt tokens that an engine of a pool processes in a ms."""
        rate = self._rates.get(pool)
        return None if rate is None else rate.tokens_per_ms

    def pools(self) -> list[str]:
        """Return the pools whose rate is known."""
        return list(self._rates)
