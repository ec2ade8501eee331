"""Decide by the desired state in force whether and how a call is served."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.prompt_key import prompt_key
from clementineyoke_core.edge.request_digest import request_digest
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_core.edge.desired_state import CallerLimits, Team
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.edge.route import Route
    from clementineyoke_core.edge.route_table import RouteTable

NO_STATE_RETRY_SHARE = 0.3
LEAST_NO_STATE_RETRY_MS = 200.0
LONGEST_NO_STATE_RETRY_MS = 2_500.0
"""When to come back to a node without a state. The store may be away for seconds and a
caller comes back once or twice: the longer it can wait, the likelier it is served then.
The times are spread, so that not all of them meet the node in its first moment."""
LEAST_URGENT = 9


class AdmittedCall(NamedTuple):
    """A call that may be served, with what the desired state says of it."""

    call: EdgeCall
    route: Route
    pool: str
    team: str | None
    priority: int
    arrived_ms: float
    deadline_ms: float
    """When the caller or the route's limit ends it; monotonic."""
    version: int
    """The operator's version by which it was admitted."""
    prompt_key: int | None
    """By which its prompt finds a runner; None for a call without one."""

    @property
    def prompt_tokens(self) -> int:
        """Length of the call's prompt; 0 for a call without one."""
        return sum(part.tokens for part in self.call.prompt_parts)

    @property
    def digest(self) -> bytes:
        """Mark of what is asked for, by which a repeat of the call is known."""
        return request_digest(
            team=self.team,
            method=self.call.method,
            target=self.call.target,
            body=self.call.body,
        )


def admit(
    call: EdgeCall, table: RouteTable | None, *, arrived_ms: float, rng: Random
) -> AdmittedCall:
    """Match a call with route and team; raises ``RequestError``."""
    if table is None:
        # Refusing with "no such route" would tell a caller what only a known state can.
        raise _refuse(503, "no desired state is known yet", _return_ms(call, rng))
    _check_size(call, table.state.limits)
    match = table.match(call.hostname, call.path)
    route = match.route
    if route is None:
        raise _refuse(404, f"no route for this path in version {match.version}")
    team = None if call.key is None else table.team_of(call.key)
    if team is None and table.state.needs_key and not route.is_public:
        raise _refuse(401, f"the key is not known in version {match.version}")
    wait_ms = route.timeout_ms
    if call.budget_ms is not None:
        wait_ms = min(wait_ms, call.budget_ms)
    return AdmittedCall(
        call=call,
        route=route,
        pool=_pick_pool(route, rng),
        team=None if team is None else team.name,
        priority=_priority(route, team),
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + wait_ms,
        version=match.version,
        prompt_key=prompt_key(call.prompt_parts, model=call.model),
    )


def _check_size(call: EdgeCall, limits: CallerLimits) -> None:
    """Refuse what is larger than the operator lets a caller send."""
    if call.head_bytes > limits.max_header_bytes:
        raise _refuse(431, f"headers of {call.head_bytes} bytes are too large")
    if len(call.body) > limits.max_body_bytes:
        raise _refuse(413, f"a body of {len(call.body)} bytes is too large")


def _return_ms(call: EdgeCall, rng: Random) -> int:
    longest_ms = NO_STATE_RETRY_SHARE * (call.budget_ms or 0.0)
    longest_ms = min(LONGEST_NO_STATE_RETRY_MS, longest_ms)
    least_ms = max(LEAST_NO_STATE_RETRY_MS, longest_ms / 2)
    return int(rng.uniform(least_ms, max(least_ms, longest_ms)))


def _pick_pool(route: Route, rng: Random) -> str:
    if len(route.pools) == 1:
        return route.pools[0].pool
    weights = [entry.weight for entry in route.pools]
    return rng.choices(route.pools, weights)[0].pool


def _priority(route: Route, team: Team | None) -> int:
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(LEAST_URGENT, priority))


def _refuse(
    status: int, reason: str, retry_after_ms: int | None = None
) -> RequestError:
    return RequestError(
        status=status,
        outcome=Outcome.NOT_RUN,
        step="admit",
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
