"""How long a silent runner is waited for before the call goes on elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.call_kind import CallKind

if TYPE_CHECKING:
    from clementineyoke_core.edge.route import Route

LEAST_HEAD_MS = 250.0
"""For connection, queue and first step of a runner under ordinary load."""
READING_MS_PER_TOKEN = 0.05
"""Twice what engines of 48 tokens a millisecond need: a long prompt that is read as
usual must not look like a dead runner. At a fixed share of the objective a sixth of all
streams were given up on while their prompt was being read, and read again elsewhere."""
OVERDUE_FACTOR = 3.0
LEAST_OVERDUE_MS = 1_500.0
"""A runner with cold caches and a queue is late for a while and has no fault. With half
of this, runners were paused on days without any fault, and their prompts read anew."""
PAUSE_FACTOR = 2.0
"""Pauses over this multiple of the objective are taken for a dead runner: the stream is
late already, and callers leave after a few times as much."""


LATE_FACTOR = 2.0
"""Multiple of the objective after which a silent runner is given up when a second one
could no longer answer in time: callers leave after four times the objective."""
LAST_FACTOR = 4.0
"""Multiple of the objective for which the last runner of a call is waited for: callers
leave then. An answer that comes late is worth more to them than none."""
FIRST_ANSWER_MS = 100.0
"""Time to a stream's first event until the pace is known: the median of three kinds of
prompts, of 700 to 9,000 tokens, lay between 90 and 110 ms."""
PACE_WEIGHT = 0.05
"""Weight of the newest answer in the pace: some twenty answers decide, which a node
sees of each route within seconds."""

MOST_PACES = 4_096
"""Routes whose pace is kept, 0.2 MB; after that all are learned anew."""


class AttemptTimeouts:
    """Work out waiting times for calls that may go on at another runner.

    A call that may not be sent again gets all the time it has: ending it sooner turns
    a late answer into none.

    A second runner is worth its work while it can still answer in time. Afterwards the
    caller is late whichever runner answers, and the first one has the prompt: given up
    at once it was read at two runners, where the second try was no quicker either.
    """

    def __init__(self) -> None:
        self._pace_ms: dict[str, float] = {}

    def record_first_event(self, route: Route, *, latency_ms: float) -> None:
        """Note how long a runner took to a stream's first event."""
        if len(self._pace_ms) >= MOST_PACES:
            self._pace_ms.clear()
        pace_ms = self._pace_ms.get(route.name, FIRST_ANSWER_MS)
        self._pace_ms[route.name] = pace_ms + PACE_WEIGHT * (latency_ms - pace_ms)

    def head_timeout_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return how long to wait for an answer's head or a stream's first event."""
        if not route.may_repeat or route.max_runners < 2:
            return route.timeout_ms
        if route.kind is CallKind.STREAM:
            usual_ms = LEAST_HEAD_MS + READING_MS_PER_TOKEN * prompt_tokens
            answer_ms = self._pace_ms.get(route.name, FIRST_ANSWER_MS)
            if usual_ms + answer_ms <= route.objective_ms:
                return usual_ms
            return max(usual_ms, LATE_FACTOR * route.objective_ms)
        return max(LEAST_HEAD_MS, route.objective_ms)

    def last_attempt_timeout_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return how long to wait for an answer when no other runner may be tried.

        Given up sooner, a runner that is merely slow turns a late answer into none.
        With one runner of a small pool dark and one slow, 44 calls of a day ended with
        a 502, most of them after 0.6 s at a second runner that was at work on them;
        with this wait 10 did (one pair of plays).
        """
        if not route.may_repeat:
            return route.timeout_ms
        patience_ms = self.head_timeout_ms(route, prompt_tokens=prompt_tokens)
        return max(patience_ms, LAST_FACTOR * route.objective_ms)

    def overdue_after_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return after how long a call's silence is a sign against its runner."""
        usual_ms = LEAST_HEAD_MS + READING_MS_PER_TOKEN * prompt_tokens
        return max(LEAST_OVERDUE_MS, OVERDUE_FACTOR * usual_ms)

    def next_event_timeout_ms(self, route: Route) -> float:
        """Return how long to wait for a stream's next event."""
        if not route.may_repeat or route.max_runners < 2:
            return route.timeout_ms
        return max(LEAST_HEAD_MS, PAUSE_FACTOR * route.pause_objective_ms)
