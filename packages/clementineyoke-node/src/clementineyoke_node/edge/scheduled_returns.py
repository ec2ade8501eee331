"""Policy by which rejected calls return when capacity is expected in their pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.overload.expected_work import ExpectedWork
from clementineyoke_core.overload.grant_meter import GrantMeter, grants_key
from clementineyoke_core.overload.return_rates import (
    NO_RUNNERS,
    FleetShare,
    RateSource,
    ReturnRate,
    ReturnRates,
    RunnerCount,
)
from clementineyoke_core.overload.return_schedule import (
    ReturnRequest,
    ReturnSchedule,
)
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.edge.return_policy import (
    MAX_QUEUE_MS,
    REFUSED_RETRY_MS,
    FixedReturns,
    ReturnPolicy,
)
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.grants.grant_rule import GrantRule
    from clementineyoke_core.overload.expected_work import TimeNeed
    from clementineyoke_core.overload.overload_features import OverloadFeatures
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.messages import Gossip

MS_PER_S = 1000.0
QUEUE_OBJECTIVE_SHARE = 0.5
"""Share of its objective for which a call may queue; the rest is for its work."""
KEY_BODY_BYTES = 1_024
"""Bytes at either end of a body by which repeats of a call are recognized. Calls that
differ only between them are taken for one that repeats."""
OVERBOOKED_LOG_INTERVAL_MS = 1_000.0
"""Shortest time between two lines on one pool's overbooked returns."""


def count_runners(state: NodeState) -> dict[str, RunnerCount]:
    """Return the number of the region's runners that do not drain, by pool."""
    counts: dict[str, RunnerCount] = {}
    for entry in state.table.entries():
        runner = entry.runner
        if entry.state is RunnerState.DRAINING or runner.region != state.config.region:
            continue
        home_id = state.region_homes.home_of(runner.runner_id)
        total, homed = counts.get(runner.pool, NO_RUNNERS)
        homed += home_id == state.config.node_id
        counts[runner.pool] = RunnerCount(total + 1, homed)
    return counts


def make_return_policy(
    *,
    features: OverloadFeatures,
    state: NodeState,
    timers: TimerService,
    fleet_calls_per_s: Callable[[], float],
) -> ReturnPolicy:
    """Return the policy that a deployment's features call for.

    ``fleet_calls_per_s`` returns the calls per second of the region's nodes.
    """
    if not features.return_schedule:
        return FixedReturns(timers=timers)

    def fleet_share() -> FleetShare:
        nodes = state.membership.confirmed_alive(region=state.config.region)
        fleet_per_s = fleet_calls_per_s()
        own_per_s = state.call_rate.per_s(now_ms=timers.now_ms())
        call_share = own_per_s / fleet_per_s if fleet_per_s else 0.0
        return FleetShare(max(1, len(nodes)), call_share)

    meter = GrantMeter(table=state.table)
    return ScheduledReturns(
        meter=meter,
        count_runners=lambda: count_runners(state),
        rates=ReturnRates(
            meter=meter, mean_load=state.mean_load, fleet_share=fleet_share
        ),
        schedule=ReturnSchedule(rng=state.rng),
        metrics=state.metrics,
        timers=timers,
    )


class ScheduledReturns:
    """Plan returns by the schedule, and reject calls that cannot be answered in time.

    Without a known rate the times are those of ``FixedReturns``.
    """

    def __init__(
        self,
        *,
        meter: GrantMeter,
        count_runners: Callable[[], dict[str, RunnerCount]],
        rates: ReturnRates,
        schedule: ReturnSchedule,
        metrics: Metrics,
        timers: TimerService,
    ) -> None:
        self._meter = meter
        self._count_runners = count_runners
        self._rates = rates
        self._schedule = schedule
        self._metrics = metrics
        self._timers = timers
        self._expected_work = ExpectedWork()
        self._pools_by_hash: dict[int, str] = {}
        self._sources: dict[str, RateSource] = {}
        self._overbooked: dict[str, _OverbookedCount] = {}

    @property
    def grant_rules(self) -> tuple[GrantRule, ...]:
        """The meter of this node's grants."""
        return (self._meter,)

    def check_time_left(
        self,
        admitted: AdmittedCall,
        *,
        not_run_retry_ms: Callable[[AdmittedCall], int],
    ) -> None:
        """Raise ``RequestError`` for a call that cannot be answered in time.

        The rest of a broken stream takes less work than a call of its route, and is
        always tried.
        """
        if admitted.call.last_event is not None:
            return
        now_ms = self._timers.now_ms()
        need = self._expected_work.time_need(
            admitted.route.name, admitted.pool, admitted.priority, now_ms=now_ms
        )
        left_ms = admitted.deadline_ms - now_ms
        if need is None or need.total_ms <= left_ms:
            return
        if need.work_ms > left_ms:
            # A return would find even less time, and must not take capacity of others.
            shortage = "work"
            retry_after_ms = self._schedule.spread_ms(left_ms=left_ms)
        else:
            shortage = "wait"
            retry_after_ms = not_run_retry_ms(admitted)
        self._metrics.early_rejections.inc(
            {
                "pool": admitted.pool,
                "priority": str(admitted.priority),
                "reason": shortage,
            }
        )
        raise RequestError(
            status=503,
            outcome=Outcome.NOT_RUN,
            step="check_time",
            reason=_describe_shortage(need, left_ms),
            retry_after_ms=retry_after_ms,
            details={
                "shortage": shortage,
                "wait_ms": round(need.wait_ms),
                "work_ms": round(need.work_ms),
                "work_age_ms": round(need.work_age_ms),
                "left_ms": round(left_ms),
                **self.describe(admitted.pool),
            },
        )

    def queue_ms(self, admitted: AdmittedCall, *, was_searched: bool) -> int:
        """Return the queue time: half of the objective, within what is left of it.

        A call that a runner has failed is late already, and a late answer is better
        than none: it keeps the constant queue time, as does a route without objective.
        """
        now_ms = self._timers.now_ms()
        objective_ms = admitted.route.objective_ms
        if was_searched or objective_ms <= 0.0:
            max_ms = float(MAX_QUEUE_MS)
        else:
            objective_left_ms = admitted.arrived_ms + objective_ms - now_ms
            max_ms = min(QUEUE_OBJECTIVE_SHARE * objective_ms, objective_left_ms)
        return int(max(0.0, min(max_ms, admitted.deadline_ms - now_ms)))

    def retry_after_ms(self, admitted: AdmittedCall) -> int:
        """Return the planned Retry-After, or the constant one if no rate is known."""
        now_ms, pool = self._timers.now_ms(), admitted.pool
        rate = self._rates.rate(pool, now_ms=now_ms)
        self._log_source(pool, rate)
        retry_after_ms = REFUSED_RETRY_MS
        if rate.source is not RateSource.UNKNOWN:
            planned = self._schedule.plan(
                ReturnRequest(
                    pool=pool,
                    priority=admitted.priority,
                    call_key=_call_key(admitted),
                    left_ms=admitted.deadline_ms - now_ms,
                    rate_per_s=rate.per_s,
                    now_ms=now_ms,
                )
            )
            retry_after_ms = planned.retry_after_ms
            if planned.is_overbooked:
                self._log_overbooked(pool, rate, now_ms)
        self._metrics.retry_after_s.observe(
            {"pool": pool, "priority": str(admitted.priority)},
            retry_after_ms / MS_PER_S,
        )
        return retry_after_ms

    def record_slot(self, admitted: AdmittedCall, *, asked_ms: float) -> None:
        """Record how long a call waited for its slot."""
        now_ms = self._timers.now_ms()
        self._expected_work.record_slot(
            admitted.pool,
            admitted.priority,
            wait_ms=now_ms - asked_ms,
            now_ms=now_ms,
        )

    def record_answer(self, admitted: AdmittedCall, *, granted_ms: float) -> None:
        """Record the time from a call's slot to its complete answer."""
        if admitted.call.last_event is not None:
            return
        now_ms = self._timers.now_ms()
        self._expected_work.record_answer(
            admitted.route.name, work_ms=now_ms - granted_ms, now_ms=now_ms
        )

    def describe(self, pool: str) -> dict[str, object]:
        """Return the rate of a pool with its age and source."""
        rate = self._rates.rate(pool, now_ms=self._timers.now_ms())
        return {
            "return_rate_per_s": round(rate.per_s, 2),
            "return_rate_age_ms": round(rate.age_ms),
            "return_rate_source": rate.source.value,
        }

    def apply_hosts(self) -> set[str]:
        """Apply a changed set of runners; return the gossip keys of their pools."""
        runners = self._count_runners()
        self._pools_by_hash = {hash_text(grants_key(pool)): pool for pool in runners}
        self._schedule.retain(runners)
        for table in (self._sources, self._overbooked):
            for pool in table.keys() - runners.keys():
                del table[pool]
        return self._rates.set_runners(runners)

    def publish(self) -> None:
        """Put the rates of this node's homes into the next gossip."""
        self._rates.publish(now_ms=self._timers.now_ms())

    def record_gossip(self, gossip: Gossip) -> None:
        """Record for which pools a peer sent its rate."""
        now_ms = self._timers.now_ms()
        for load in gossip.loads:
            pool = self._pools_by_hash.get(load.pool)
            if pool is not None:
                self._rates.record_exchange(pool, now_ms=now_ms)

    def _log_source(self, pool: str, rate: ReturnRate) -> None:
        if self._sources.get(pool) is rate.source:
            return
        self._sources[pool] = rate.source
        log_event(Event.RETURN_RATE_CHANGED, pool=pool, **self.describe(pool))

    def _log_overbooked(self, pool: str, rate: ReturnRate, now_ms: float) -> None:
        count = self._overbooked.get(pool, _OverbookedCount(0, -math.inf))
        calls = count.calls + 1
        if now_ms - count.logged_ms < OVERBOOKED_LOG_INTERVAL_MS:
            self._overbooked[pool] = _OverbookedCount(calls, count.logged_ms)
            return
        self._overbooked[pool] = _OverbookedCount(0, now_ms)
        log_event(
            Event.RETURNS_OVERBOOKED,
            pool=pool,
            calls=calls,
            rate_per_s=round(rate.per_s, 2),
        )


class _OverbookedCount(NamedTuple):
    """Overbooked returns of a pool since the last line on them."""

    calls: int
    logged_ms: float


def _call_key(admitted: AdmittedCall) -> int:
    """Return a key that is the same for each repeat of a call.

    Calls of one kind may have equal bodies and differ in their prompts only. The digest
    of a request takes too long here: 75 us for a body of 48 kB.
    """
    call = admitted.call
    ends = call.body[:KEY_BODY_BYTES], call.body[-KEY_BODY_BYTES:]
    content = call.method, call.target, len(call.body), ends, call.prompt_parts
    return hash((admitted.team, content))


def _describe_shortage(need: TimeNeed, left_ms: float) -> str:
    return (
        f"the call needs at least {need.work_ms:.0f} ms after a wait of "
        f"{need.wait_ms:.0f} ms, and has {left_ms:.0f} ms left"
    )
