"""Accounting of calls to engines in tokens: what a node learns, checks and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.expected_outputs import ExpectedOutputs
from clementineyoke_core.capacity.fleet_prefill_rates import (
    FleetPrefillRates,
    gossip_key,
)
from clementineyoke_core.capacity.prefill_backlog import PrefillBacklog
from clementineyoke_core.capacity.prefill_rates import MAX_POOLS, PrefillRates
from clementineyoke_core.capacity.token_reservations import (
    USABLE_SHARE,
    TokenReservations,
)
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.grants.call_profile import PromptCost
    from clementineyoke_core.grants.grant_rule import GrantRequest, GrantRule
    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.engine_view import EngineView
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.timers.timer_service import TimerService

FULL_SHARE = 0.95
FREE_SHARE = 0.8
"""Shares of the usable memory at which an engine is reported as full and, after that,
as free again; the gap keeps one call from causing an event at each grant."""
UNKNOWN_OUTPUT_SHARE = 0.1
"""Share of an engine's memory that is reserved at most for an output whose usual length
is not known. One caller that states a huge maximum must not keep an engine from all
others."""
RATE_CHANGE_FACTOR = 1.5
"""Change of a learned prefill rate that is reported."""


class TokenAccounting:
    """Owns the grant rules on tokens and the learners that feed them."""

    def __init__(
        self,
        *,
        engines: EngineView,
        timers: TimerService,
        decisions: DecisionRing,
        mean_load: MeanLoadEstimator,
        count_nodes: Callable[[], int],
    ) -> None:
        """Create the rules and learners.

        ``mean_load`` averages the learned rates over the fleet. ``count_nodes`` returns
        the number of nodes that gossip with this one.
        """
        self._engines = engines
        self._timers = timers
        self._decisions = decisions
        self._rates = PrefillRates()
        self._fleet_rates = FleetPrefillRates(
            rates=self._rates, mean_load=mean_load, count_nodes=count_nodes
        )
        self._outputs = ExpectedOutputs()
        self._reservations = TokenReservations(engines=engines)
        self._backlog = PrefillBacklog(
            engines=engines, tokens_per_ms=self._fleet_rates.tokens_per_ms
        )
        self._full_runner_ids: set[str] = set()
        self._logged_rates: dict[str, float] = {}
        self._shown_runner_ids: set[str] = set()

    @property
    def rules(self) -> tuple[GrantRule, ...]:
        """The rules that a home asks after its own ones."""
        return (self._reservations, self._backlog)

    @staticmethod
    def gossip_keys(pools: Iterable[str]) -> set[str]:
        """Return the keys under which the rates of pools are averaged."""
        return {gossip_key(pool) for pool in pools}

    def prefill_tokens(self, request: GrantRequest) -> int:
        """Return the prompt tokens that a call adds on a runner; 0 if unknown."""
        if not request.profile.is_described:
            return 0
        return self._backlog.measurable_tokens(request)

    def check_size(self, admitted: AdmittedCall) -> None:
        """Reject a call that no engine of its pool can hold.

        Raises ``RequestError`` with status 413. The output counts only once it has been
        learned: a caller's maximum may be far from what the call produces.
        """
        memory_tokens = self._engines.memory_tokens(admitted.pool)
        if memory_tokens <= 0:
            return
        prompt_tokens = admitted.prompt_tokens
        output_tokens = self._learned_tokens(admitted)
        if prompt_tokens + output_tokens <= memory_tokens:
            return
        self._decisions.record(
            Event.CALL_TOO_LARGE,
            request_id=admitted.call.call_id,
            pool=admitted.pool,
            prompt_tokens=prompt_tokens,
            expected_output_tokens=output_tokens,
            memory_tokens=memory_tokens,
        )
        raise RequestError(
            status=413,
            outcome=Outcome.NOT_RUN,
            step="check_size",
            reason=(
                f"a prompt of {prompt_tokens} tokens with an expected output of "
                f"{output_tokens} does not fit in the {memory_tokens} tokens of a "
                f"runner of {admitted.pool!r}"
            ),
        )

    def describe(self, admitted: AdmittedCall) -> PromptCost:
        """Return the size of a call, with the output that is expected of its route."""
        cost = admitted.prompt_cost
        memory_tokens = self._engines.memory_tokens(admitted.pool)
        if memory_tokens <= 0:
            return cost
        output_tokens = self._outputs.expected_tokens(
            admitted.pool,
            admitted.route.name,
            max_output_tokens=admitted.call.max_output_tokens,
        )
        # A call whose prompt fits must fit on an idle engine, whatever its maximum.
        limit_tokens = max(0, memory_tokens - cost.prompt_tokens)
        if not self._learned_tokens(admitted):
            unknown_tokens = int(UNKNOWN_OUTPUT_SHARE * memory_tokens)
            limit_tokens = min(limit_tokens, unknown_tokens)
        return cost._replace(output_tokens=min(output_tokens, limit_tokens))

    def record_first_event(
        self, admitted: AdmittedCall, *, prefill_tokens: int, latency_ms: float
    ) -> None:
        """Record the time from the start of an attempt to its first event."""
        if self._engines.memory_tokens(admitted.pool) <= 0:
            return
        if admitted.call.last_event is not None:
            return  # The runner may still have the prompt and the work of the stream.
        self._rates.record_first_event(
            admitted.pool,
            prefill_tokens=prefill_tokens,
            latency_ms=latency_ms,
            now_ms=self._timers.now_ms(),
        )

    def record_answer(self, admitted: AdmittedCall, *, events: int) -> None:
        """Record the events of a stream that was answered completely."""
        if self._engines.memory_tokens(admitted.pool) <= 0:
            return
        if admitted.call.last_event is not None:
            return  # The caller had the beginning of the stream already.
        self._outputs.record_answer(
            admitted.pool,
            admitted.route.name,
            events=events,
            max_output_tokens=admitted.call.max_output_tokens,
        )

    def describe_refusal(self, admitted: AdmittedCall) -> dict[str, object]:
        """Return the inputs of the rules for the log line of a refused call."""
        if self._engines.memory_tokens(admitted.pool) <= 0:
            return {}
        cost = self.describe(admitted)
        fields: dict[str, object] = {
            "prompt_tokens": cost.prompt_tokens,
            "shared_tokens": cost.shared_tokens,
            "expected_output_tokens": cost.output_tokens,
        }
        tokens_per_ms = self._fleet_rates.tokens_per_ms(admitted.pool)
        if tokens_per_ms is not None:
            fields["prefill_tokens_per_ms"] = round(tokens_per_ms, 1)
        own_rate = self._rates.get(admitted.pool)
        if own_rate is not None:
            # The mean of the fleet has no age: each exchange renews it.
            fields["prefill_rate_age_ms"] = round(
                self._timers.now_ms() - own_rate.recorded_ms
            )
        return fields

    def update(self, runner_ids: Collection[str]) -> None:
        """Forget the runners that are not homed here, and report changes."""
        homed_ids = set(runner_ids)
        engines = {runner_id: self._engines.find(runner_id) for runner_id in homed_ids}
        pools = {engine.pool for engine in engines.values() if engine is not None}
        self._backlog.retain(runner_ids=homed_ids, pools=pools)
        self._full_runner_ids &= homed_ids
        for runner_id, engine in engines.items():
            if engine is not None:
                self._report_memory(runner_id, engine.memory_tokens)
        self._fleet_rates.update(self._engines.pools())
        for pool in self._fleet_rates.pools():
            self._report_rate(pool)

    def set_gauges(self, metrics: Metrics, runner_ids: Collection[str]) -> None:
        """Set the gauges of the engines homed here; 0 for those homed here before."""
        homed_ids = {
            runner_id
            for runner_id in runner_ids
            if self._engines.find(runner_id) is not None
        }
        now_ms = self._timers.now_ms()
        for runner_id in homed_ids | self._shown_runner_ids:
            labels = {"runner": runner_id}
            is_homed = runner_id in homed_ids
            reserved = self._reservations.reserved_tokens(runner_id)
            backlog = self._backlog.backlog_tokens(runner_id, now_ms=now_ms)
            metrics.runner_reserved_tokens.set(labels, reserved if is_homed else 0)
            metrics.runner_prefill_backlog.set(labels, backlog if is_homed else 0)
        self._shown_runner_ids = homed_ids
        for pool in self._fleet_rates.pools():
            metrics.pool_prefill_rate.set(
                {"pool": pool}, self._fleet_rates.tokens_per_ms(pool) or 0.0
            )

    def _learned_tokens(self, admitted: AdmittedCall) -> int:
        learned = self._outputs.learned_tokens(admitted.pool, admitted.route.name) or 0
        max_tokens = admitted.call.max_output_tokens
        return min(learned, max_tokens) if max_tokens > 0 else learned

    def _report_memory(self, runner_id: str, memory_tokens: int) -> None:
        reserved = self._reservations.reserved_tokens(runner_id)
        was_full = runner_id in self._full_runner_ids
        limit = (FREE_SHARE if was_full else FULL_SHARE) * USABLE_SHARE * memory_tokens
        is_full = reserved >= limit
        if is_full == was_full:
            return
        if is_full:
            self._full_runner_ids.add(runner_id)
        else:
            self._full_runner_ids.discard(runner_id)
        log_event(
            Event.RUNNER_MEMORY_FULL,
            runner=runner_id,
            is_full=is_full,
            reserved_tokens=reserved,
            memory_tokens=memory_tokens,
        )

    def _report_rate(self, pool: str) -> None:
        tokens_per_ms = self._fleet_rates.tokens_per_ms(pool) or 0.0
        logged = self._logged_rates.get(pool, 0.0)
        if logged / RATE_CHANGE_FACTOR <= tokens_per_ms <= logged * RATE_CHANGE_FACTOR:
            return
        if len(self._logged_rates) >= MAX_POOLS:
            self._logged_rates.clear()
        self._logged_rates[pool] = tokens_per_ms
        log_event(
            Event.PREFILL_RATE_LEARNED,
            pool=pool,
            tokens_per_ms=round(tokens_per_ms, 1),
        )
