"""Admission of calls: match each call with a route and a team of the desired state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.crash_factors import crash_factors
from clementineyoke_core.edge.desired_state import PriorityClass
from clementineyoke_core.edge.prompt_key import prompt_key
from clementineyoke_core.edge.request_digest import request_digest
from clementineyoke_core.grants.call_profile import NO_PROMPT, PromptCost
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError

if TYPE_CHECKING:
    from random import Random

    from clementineyoke_core.edge.crash_factors import CrashFactors
    from clementineyoke_core.edge.desired_state import CallerLimits, Team
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.edge.hop import Hop
    from clementineyoke_core.edge.route import Route
    from clementineyoke_core.edge.route_table import RouteTable

NO_STATE_RETRY_SHARE = 0.3
MIN_NO_STATE_RETRY_MS = 200.0
MAX_NO_STATE_RETRY_MS = 2_500.0
"""Retry-After of a node that has no desired state yet, as a share of the caller's time
budget within these bounds. The store may be unreachable for seconds and callers retry
once or twice, so a later retry is likelier to succeed. The delay is randomized so that
callers do not all return in the moment the node becomes ready."""
LEAST_URGENT_PRIORITY = 9


class AdmittedCall(NamedTuple):
    """A call that may be served, with its settings from the desired state."""

    call: EdgeCall
    route: Route
    pool: str
    team: str | None
    priority: int
    """0 is the most urgent."""
    arrived_ms: float
    deadline_ms: float
    """Monotonic time at which the caller's budget or the route's timeout is used up."""
    version: int
    """Operator's version of the desired state that admitted the call."""
    prompt_key: int | None
    """Routing key of the prompt; None for a call without a prompt."""
    hop: Hop | None = None
    """Set if another node has forwarded the call."""

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the call's prompt; 0 for a call without a prompt."""
        return sum(part.tokens for part in self.call.prompt_parts)

    @property
    def prompt_cost(self) -> PromptCost:
        """Return the size of the call's work on a model engine.

        The last part of a prompt belongs to the call or its chat alone.
        """
        parts = self.call.prompt_parts
        if self.prompt_key is None or not parts:
            return NO_PROMPT
        return PromptCost(
            key=self.prompt_key,
            shared_tokens=sum(part.tokens for part in parts[:-1]),
            own_tokens=parts[-1].tokens,
            output_tokens=self.call.max_output_tokens,
        )

    @property
    def digest(self) -> bytes:
        """Return the digest by which a repeated request is recognized."""
        return request_digest(
            team=self.team,
            method=self.call.method,
            target=self.call.target,
            body=self.call.body,
        )

    @property
    def crash_factors(self) -> CrashFactors:
        """Return what may be the cause if the call's runner crashes."""
        return crash_factors(
            request=self.digest, team=self.team, prompt_parts=self.call.prompt_parts
        )


def admit(
    call: EdgeCall,
    table: RouteTable | None,
    *,
    arrived_ms: float,
    rng: Random,
    has_priority_classes: bool = False,
) -> AdmittedCall:
    """Match a call with its route and team.

    With ``has_priority_classes`` the call's priority is the place of its class among
    those of its pool, so that the route's priority counts among calls of teams with the
    same priority. Raises ``RequestError`` if the call is refused.
    """
    if table is None:
        # A 404 would claim that the route does not exist, which is not known here.
        raise _refuse(503, "no desired state is known yet", _retry_after_ms(call, rng))
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
    pool = _pick_pool(route, rng)
    priority = _priority(route, team)
    if has_priority_classes:
        team_priority = None if team is None else team.priority
        priority_class = PriorityClass.of(route.priority, team_priority)
        priority = table.class_index(pool, priority_class)
    return AdmittedCall(
        call=call,
        route=route,
        pool=pool,
        team=None if team is None else team.name,
        priority=priority,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + wait_ms,
        version=match.version,
        prompt_key=prompt_key(call.prompt_parts, model=call.model),
    )


def _check_size(call: EdgeCall, limits: CallerLimits) -> None:
    """Refuse requests that exceed the operator's size limits."""
    if call.head_bytes > limits.max_header_bytes:
        raise _refuse(431, f"headers of {call.head_bytes} bytes are too large")
    if len(call.body) > limits.max_body_bytes:
        raise _refuse(413, f"a body of {len(call.body)} bytes is too large")


def _retry_after_ms(call: EdgeCall, rng: Random) -> int:
    max_ms = NO_STATE_RETRY_SHARE * (call.budget_ms or 0.0)
    max_ms = min(MAX_NO_STATE_RETRY_MS, max_ms)
    min_ms = max(MIN_NO_STATE_RETRY_MS, max_ms / 2)
    return int(rng.uniform(min_ms, max(min_ms, max_ms)))


def _pick_pool(route: Route, rng: Random) -> str:
    if len(route.pools) == 1:
        return route.pools[0].pool
    weights = [entry.weight for entry in route.pools]
    return rng.choices(route.pools, weights)[0].pool


def _priority(route: Route, team: Team | None) -> int:
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return max(0, min(LEAST_URGENT_PRIORITY, priority))


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
