"""Timeouts after which a silent runner is abandoned and the call retried elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.call_kind import CallKind

if TYPE_CHECKING:
    from clementineyoke_core.edge.route import Route

MIN_HEAD_TIMEOUT_MS = 250.0
"""Time for connection, queue and first step of a runner under normal load."""
PREFILL_MS_PER_TOKEN = 0.05
"""Twice the prefill time of engines that read 48 tokens per ms, so that a runner that
reads a long prompt does not look dead. A timeout at a fixed share of the objective
abandons a sixth of all streams during prefill and starts them again elsewhere."""
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_MS = 1_500.0
"""A healthy runner with cold caches and a queue is late for a while. A limit of half
this time takes such runners out of use, and their prompts are computed again
elsewhere."""
EVENT_GAP_FACTOR = 2.0
"""A gap between events longer than this multiple of its objective means a dead runner:
the stream is late by then, and callers leave after a few times the objective."""


LATE_FACTOR = 2.0
"""Multiple of the objective after which a silent runner is abandoned if a second one
can no longer answer in time. Callers leave after four times the objective."""
LAST_ATTEMPT_FACTOR = 4.0
"""Multiple of the objective for which a call waits for its last runner. Until callers
leave, a late response is better than none."""
MIN_STREAM_PATIENCE_MS = 2_000.0
PAUSE_PATIENCE_FACTOR = 8.0
"""Callers of streams leave after four times the objective, after eight times the pause
objective or after two seconds, whichever is longest."""
INITIAL_FIRST_EVENT_MS = 100.0
"""Time to a stream's first event, assumed until responses are seen. The medians of
three kinds of prompts, of 700 to 9,000 tokens, lie between 90 and 110 ms."""
FIRST_EVENT_WEIGHT = 0.05
"""Weight of the newest response in the moving average of the time to the first event.
About twenty responses dominate it; a node sees as many of a route within seconds."""

MAX_ROUTES = 4_096
"""Routes with a moving average, 0.2 MB in all; a full table is cleared."""


class AttemptTimeouts:
    """Compute timeouts for attempts of calls that may be retried on another runner.

    A call that may not be repeated gets all of its remaining time: a shorter timeout
    would turn a late response into none.

    A second attempt pays off only while it can still meet the objective. After that the
    response is late from either runner, and the first one is already reading the
    prompt. If it were abandoned then, both runners would read the prompt and the second
    would be no faster.
    """

    def __init__(self) -> None:
        self._first_event_ms: dict[str, float] = {}

    def record_first_event(self, route: Route, *, latency_ms: float) -> None:
        """Record the time from the attempt's start to a stream's first event."""
        if len(self._first_event_ms) >= MAX_ROUTES:
            self._first_event_ms.clear()
        average_ms = self._first_event_ms.get(route.name, INITIAL_FIRST_EVENT_MS)
        self._first_event_ms[route.name] = average_ms + FIRST_EVENT_WEIGHT * (
            latency_ms - average_ms
        )

    def head_timeout_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return how long to wait for a response head or a stream's first event."""
        if not route.may_repeat or route.max_runners < 2:
            return route.timeout_ms
        if route.kind is CallKind.STREAM:
            expected_ms = MIN_HEAD_TIMEOUT_MS + PREFILL_MS_PER_TOKEN * prompt_tokens
            first_event_ms = self._first_event_ms.get(
                route.name, INITIAL_FIRST_EVENT_MS
            )
            if expected_ms + first_event_ms <= route.objective_ms:
                return expected_ms
            return max(expected_ms, LATE_FACTOR * route.objective_ms)
        return max(MIN_HEAD_TIMEOUT_MS, route.objective_ms)

    def last_attempt_timeout_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return how long to wait for a response when no other runner may be tried.

        A shorter timeout turns the late response of a slow runner into none. With one
        runner of a small pool unresponsive and one slow, 44 calls then end with a 502,
        most of them after 0.6 s at a second runner that is working on them; with this
        timeout 10 do.
        """
        if not route.may_repeat:
            return route.timeout_ms
        head_timeout_ms = self.head_timeout_ms(route, prompt_tokens=prompt_tokens)
        timeout_ms = max(head_timeout_ms, LAST_ATTEMPT_FACTOR * route.objective_ms)
        if route.kind is not CallKind.STREAM:
            return timeout_ms
        pause_patience_ms = PAUSE_PATIENCE_FACTOR * route.pause_objective_ms
        return max(timeout_ms, MIN_STREAM_PATIENCE_MS, pause_patience_ms)

    def overdue_after_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return after how long a call without a response counts against its runner."""
        expected_ms = MIN_HEAD_TIMEOUT_MS + PREFILL_MS_PER_TOKEN * prompt_tokens
        return max(MIN_OVERDUE_MS, OVERDUE_FACTOR * expected_ms)

    def next_event_timeout_ms(self, route: Route) -> float:
        """Return how long to wait for a stream's next event."""
        if not route.may_repeat or route.max_runners < 2:
            return route.timeout_ms
        return max(MIN_HEAD_TIMEOUT_MS, EVENT_GAP_FACTOR * route.pause_objective_ms)
