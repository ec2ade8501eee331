"""Expected length of the output of a route's calls, learned from answered ones."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

MIN_CALLS = 20
"""Answered calls of a route from which its mean is known."""
MAX_CALLS = 64
QUANTILE = 0.1
"""A low quantile rather than the minimum: one stream that an engine sends in smaller
pieces than usual must not lower the expectation of all."""
MAX_OUTPUT_TOKENS = 2**32 - 1
"""Largest maximum that counts, as in messages between nodes. Callers may state
integers that no float can hold."""
MAX_ROUTES = 4_096
"""Routes with learned outputs, 10 MB in all; a full table is cleared."""


class _Answer(NamedTuple):
    events: int
    tokens_per_event: float


class _RouteOutputs:
    """The answered calls of one route at one pool."""

    def __init__(self) -> None:
        self._answers: deque[_Answer] = deque(maxlen=MAX_CALLS)
        self.mean_events = 0.0
        self.max_tokens_per_event = 0.0

    def record(self, answer: _Answer) -> None:
        self._answers.append(answer)
        count = len(self._answers)
        self.mean_events = sum(known.events for known in self._answers) / count
        ratios = sorted(known.tokens_per_event for known in self._answers)
        self.max_tokens_per_event = ratios[int(QUANTILE * (count - 1))]

    @property
    def is_known(self) -> bool:
        return len(self._answers) >= MIN_CALLS

    @property
    def known_tokens_per_event(self) -> float:
        """The bound of the route; infinite until enough calls are known."""
        return self.max_tokens_per_event if self.is_known else math.inf


class _PoolOutputs:
    """The routes of one pool, and the lowest bound on the tokens of an event."""

    def __init__(self) -> None:
        self.routes: dict[str, _RouteOutputs] = {}
        self.tokens_per_event = math.inf

    def record(self, route: str, answer: _Answer) -> None:
        outputs = self.routes[route]
        old_tokens_per_event = outputs.known_tokens_per_event
        outputs.record(answer)
        new_tokens_per_event = outputs.known_tokens_per_event
        if new_tokens_per_event <= self.tokens_per_event:
            self.tokens_per_event = new_tokens_per_event
        elif old_tokens_per_event == self.tokens_per_event:
            self.tokens_per_event = min(
                known.known_tokens_per_event for known in self.routes.values()
            )


class ExpectedOutputs:
    """Learn the mean output of each route, in tokens.

    Events of a stream hold several tokens, a number that the fleet does not know but
    can bound. A stream of n events, all full except perhaps the last, has more than
    (n - 1) * t tokens if an event holds t, and at most the caller's maximum. So t is
    less than the maximum divided by n - 1, and the calls that run to their maximum show
    it nearly exactly. The expectation is the mean number of events times the lowest
    such bound among the pool's routes, and is therefore rather too high than too low.
    """

    def __init__(self) -> None:
        self._pools: dict[str, _PoolOutputs] = {}
        self._route_count = 0

    def record_answer(
        self, pool: str, route: str, *, events: int, max_output_tokens: int
    ) -> None:
        """Record a completely answered stream; one without a maximum shows nothing."""
        if events < 1 or max_output_tokens <= 0:
            return
        if pool not in self._pools or route not in self._pools[pool].routes:
            self._add_route(pool, route)
        # A stream of one event may hold its whole maximum in it.
        bounded_tokens = min(max_output_tokens, MAX_OUTPUT_TOKENS)
        tokens_per_event = bounded_tokens / max(1, events - 1)
        self._pools[pool].record(route, _Answer(events, tokens_per_event))

    def learned_tokens(self, pool: str, route: str) -> int | None:
        """Return the mean output of a route's calls, or None if it is not known."""
        known = self._pools.get(pool)
        outputs = None if known is None else known.routes.get(route)
        if known is None or outputs is None or not outputs.is_known:
            return None
        return round(outputs.mean_events * known.tokens_per_event)

    def expected_tokens(self, pool: str, route: str, *, max_output_tokens: int) -> int:
        """Return the expected output of a call, at most the caller's maximum.

        Until the route's mean is known, this is the maximum; 0 if there is none.
        """
        learned_tokens = self.learned_tokens(pool, route)
        if learned_tokens is None:
            return max_output_tokens
        if max_output_tokens <= 0:
            return learned_tokens
        return min(max_output_tokens, learned_tokens)

    def _add_route(self, pool: str, route: str) -> None:
        if self._route_count >= MAX_ROUTES:
            self._pools.clear()
            self._route_count = 0
        self._pools.setdefault(pool, _PoolOutputs()).routes[route] = _RouteOutputs()
        self._route_count += 1
