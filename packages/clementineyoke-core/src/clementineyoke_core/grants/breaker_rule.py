"""Rule that refuses slots on runners that fail calls or cannot be reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from clementineyoke_core.fault_rate_breaker import FaultRateBreaker
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.reachability_breaker import ReachabilityBreaker


class BreakerRule(BaseGrantRule):
    """Refuses slots on paused runners, except to last-resort and queued requests."""

    def __init__(
        self, *, fault_breaker: FaultRateBreaker, reachability: ReachabilityBreaker
    ) -> None:
        self._fault_breaker = fault_breaker
        self._reachability = reachability

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot on a paused runner."""
        if request.is_last_resort or request.is_queued:
            return None
        runner_id, now_ms = request.runner_id, request.now_ms
        if self._fault_breaker.is_paused(
            runner_id, now_ms=now_ms
        ) or self._reachability.is_paused(runner_id, now_ms=now_ms):
            return RefusalReason.PAUSED
        return None

    def record_grant(self, request: GrantRequest) -> None:
        """Count the call, as the base of the runner's share of faults."""
        if not request.is_queued:
            self._fault_breaker.record_call(request.runner_id, now_ms=request.now_ms)

    def remove_runner(self, runner_id: str) -> None:
        """Remove the faults of a runner."""
        self._fault_breaker.remove_runner(runner_id)
        self._reachability.remove_runner(runner_id)
