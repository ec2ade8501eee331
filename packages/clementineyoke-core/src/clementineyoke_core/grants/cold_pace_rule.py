"""Rule that limits the rate of calls to runners that have recently started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.cold_runner_pacer import ColdRunnerPacer
from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from clementineyoke_core.cold_runners import ColdRunners
    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.runner_table import RunnerTable

GRANT_VALIDITY_MS = 200.0
"""Time within which a call that was granted a cold runner must be sent.

A busy node sends late, and then several calls together. With this limit the calls sent
within any second are among those granted within 1.2 s. It leaves room for a request
to the home (up to 25 ms) and a connection (up to 120 ms). With 250 ms, 6 calls reached
a runner in one second under a limit of 4, as it took time to read what was sent.
"""


class ColdPaceRule(BaseGrantRule):
    """Spaces the grants on a cold runner by the operator's limit."""

    def __init__(
        self,
        *,
        cold_runners: ColdRunners,
        table: RunnerTable,
        is_home: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Create the rule; ``is_home`` returns whether a runner's home is this node."""
        self._cold_runners = cold_runners
        self._table = table
        self._is_home = is_home
        self._pacer = ColdRunnerPacer()

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot on a cold runner that cannot accept another call now."""
        if self._calls_per_s(request.runner_id, request.now_ms) is None:
            return None
        if not self._is_home(request.runner_id):
            # The former home has forgotten its pace, and the new one has its own.
            return RefusalReason.COLD
        if self._pacer.may_grant(request.runner_id, now_ms=request.now_ms):
            return None
        return RefusalReason.COLD

    def record_grant(self, request: GrantRequest) -> None:
        """Record a grant, from which the next one keeps its distance."""
        calls_per_s = self._calls_per_s(request.runner_id, request.now_ms)
        if calls_per_s is not None:
            self._pacer.record_grant(
                request.runner_id, calls_per_s=calls_per_s, now_ms=request.now_ms
            )

    def grant_validity_ms(self, runner_id: str, *, now_ms: float) -> float:
        """Return how long a grant on a cold runner is valid; 0 for no limit."""
        is_limited = self._calls_per_s(runner_id, now_ms) is not None
        return GRANT_VALIDITY_MS if is_limited else 0.0

    def record_takeover(self, runner_id: str, *, now_ms: float) -> None:
        """Record that this node has become the home of a runner that had another."""
        self._pacer.record_takeover(runner_id, now_ms=now_ms)

    def remove_runner(self, runner_id: str) -> None:
        """Remove the pace of a runner."""
        self._pacer.remove_runner(runner_id)

    def retain(self, runner_ids: Collection[str]) -> None:
        """Remove the pace of all runners but the given ones."""
        self._pacer.retain(runner_ids)

    def _calls_per_s(self, runner_id: str, now_ms: float) -> float | None:
        entry = self._table.get(runner_id)
        if entry is None:
            return None
        return self._cold_runners.calls_per_s(entry.runner, now_ms=now_ms)
