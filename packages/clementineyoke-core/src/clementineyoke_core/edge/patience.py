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


class Patience:
    """Work out waiting times for calls that may go on at another runner.

    A call that may not be sent again gets all the time it has: ending it sooner turns
    a late answer into none.
    """

    def head_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return how long to wait for an answer's head or a stream's first event."""
        if not route.may_repeat or route.most_runners < 2:
            return route.timeout_ms
        if route.kind is CallKind.STREAM:
            return LEAST_HEAD_MS + READING_MS_PER_TOKEN * prompt_tokens
        return max(LEAST_HEAD_MS, route.objective_ms)

    def overdue_ms(self, route: Route, *, prompt_tokens: int) -> float:
        """Return after how long a call's silence is a sign against its runner."""
        usual_ms = LEAST_HEAD_MS + READING_MS_PER_TOKEN * prompt_tokens
        return max(LEAST_OVERDUE_MS, OVERDUE_FACTOR * usual_ms)

    def pause_ms(self, route: Route) -> float:
        """Return how long to wait for a stream's next event."""
        if not route.may_repeat or route.most_runners < 2:
            return route.timeout_ms
        return max(LEAST_HEAD_MS, PAUSE_FACTOR * route.pause_objective_ms)
