"""How long a silent runner is waited for before the call goes on elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.call_kind import CallKind

if TYPE_CHECKING:
    from clementineyoke_core.edge.route import Route

HEAD_SHARE = 0.6
"""Share of the objective after which another runner is tried: the rest of it is enough
for a runner that answers as usual."""
LEAST_HEAD_MS = 150.0
PAUSE_FACTOR = 2.0
"""Pauses over this multiple of the objective are taken for a dead runner: the stream is
late already, and callers leave after a few times as much."""


class Patience:
    """Work out waiting times for calls that may go on at another runner.

    A call that may not be sent again gets all the time it has: ending it sooner turns
    a late answer into none.
    """

    def head_ms(self, route: Route) -> float:
        """Return how long to wait for an answer's head."""
        if not route.may_repeat or route.most_runners < 2:
            return route.timeout_ms
        if route.kind is CallKind.STREAM:
            return max(LEAST_HEAD_MS, HEAD_SHARE * route.objective_ms)
        return max(LEAST_HEAD_MS, route.objective_ms)

    def pause_ms(self, route: Route, *, has_events: bool) -> float:
        """Return how long to wait for a stream's next event."""
        if not route.may_repeat or route.most_runners < 2:
            return route.timeout_ms
        if not has_events:
            return max(LEAST_HEAD_MS, HEAD_SHARE * route.objective_ms)
        return max(LEAST_HEAD_MS, PAUSE_FACTOR * route.pause_objective_ms)
