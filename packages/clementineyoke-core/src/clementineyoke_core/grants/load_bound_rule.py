"""Rule that keeps each runner's load under a multiple of the pool's mean load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from clementineyoke_core.grants.grant_rule import BaseGrantRule
from clementineyoke_core.grants.refusal_reason import RefusalReason
from clementineyoke_core.load_bound import DEFAULT_BOUND, LoadBound, compute_home_bound
from clementineyoke_core.runner_state import RunnerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.grants.grant_rule import GrantRequest
    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_core.slot_ledger import SlotLedger


class LoadBoundRule(BaseGrantRule):
    """Refuses slots on a runner that is at its load bound."""

    def __init__(
        self,
        *,
        ledger: SlotLedger,
        table: RunnerTable,
        mean_load: MeanLoadEstimator,
        load_bound: LoadBound = DEFAULT_BOUND,
        load_weight: Callable[[GrantRequest], float] = lambda _: 1.0,
    ) -> None:
        """Create the rule.

        ``load_weight`` returns the share of its bound that a runner may use, above 0
        and at most 1.
        """
        self._ledger = ledger
        self._table = table
        self._mean_load = mean_load
        self._load_bound = load_bound
        self._load_weight = load_weight

    def check(self, request: GrantRequest) -> RefusalReason | None:
        """Refuse a slot at the bound, except to a holder that has one already."""
        bound = self._compute_bound(request)
        if self._ledger.has_room(request.runner_id, request.holder, bound=bound):
            return None
        return RefusalReason.LOAD

    def _compute_bound(self, request: GrantRequest) -> int:
        entry = self._table.get(request.runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            # The requester may have been suspended and hold an outdated view. With this
            # check a call is misrouted only if both views are outdated.
            return 0
        if self._table.is_evacuated(entry.runner):
            # Likewise, the requester may not know of the evacuation order yet.
            return 0
        load_bound = self._load_bound
        if request.load_factor > 0.0:
            # A last-resort request may use any capacity up to the default factor, even
            # for a call with a lower load factor.
            min_factor = load_bound.factor if request.is_last_resort else 0.0
            factor = max(min_factor, request.load_factor)
            load_bound = load_bound._replace(factor=factor)
        bound = compute_home_bound(
            estimated_mean=self._mean_load.mean(entry.runner.pool),
            seen_mean=request.seen_mean,
            slots=entry.runner.slots,
            load_bound=load_bound,
        )
        # Rounded up, as noise in the weight must not cost a slot of a small bound.
        return math.ceil(self._load_weight(request) * bound)
