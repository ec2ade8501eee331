"""Current and lasting speed of the runners whose home is this node."""

from __future__ import annotations

import math
from statistics import fmean, median
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.capacity.decaying_mean import DecayingMean

if TYPE_CHECKING:
    from clementineyoke_core.capacity.speed_report import SpeedReport
    from clementineyoke_core.mean_load import MeanLoadEstimator

USUAL_PERCENT = 100.0
MIN_SLOWDOWN = 1.0
MAX_SLOWDOWN = 4.0
"""Limits of a reported slowdown. A higher one is taken for nonsense or exaggeration;
one below 1 only tells that the runner is not slow."""
MAX_REPORT_AGE_MS = 1_000.0
"""Older reports are ignored."""
CURRENT_TIME_CONSTANT_MS = 300.0
"""Interference lasts a fraction of a second, and a runner that gets no calls sends no
report of its end."""
LASTING_TIME_CONSTANT_MS = 10_000.0
MAX_SILENT_MS = 60_000.0
"""Time since the last report after which a runner no longer counts in the gossiped
means. Otherwise the gossip would show a pool as reporting for good."""
PRIOR_ANSWERS = 4.0
"""Weight, in answers, of the assumption that a runner is as fast as the others."""
MIN_ANSWERS = 5.0
"""Answers, decayed by their age, below which response times say nothing."""
MIN_DOUBTED_RATIO = 1.5
"""Lasting slowdown, relative to the pool, from which reports are compared with the
response times. Interference at 2.5 times for 15% of the time gives the runners of one
pool lasting slowdowns that differ by less than a fifth."""
DOUBT_LENIENCY = 0.5
"""Share of the reported lasting slowdown that response times must show for full trust,
as they lag behind the reports by the duration of the calls."""
MIN_SAMPLES = 3
"""Runners from which a pool's median or mean is formed at one node."""
MIN_LOAD_WEIGHT = 0.5


class _State:
    """What a home knows about one runner."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.reported = MIN_SLOWDOWN
        self.reported_ms = -math.inf
        self.lasting = MIN_SLOWDOWN
        self.times = DecayingMean(
            time_constant_ms=LASTING_TIME_CONSTANT_MS, prior_weight=PRIOR_ANSWERS
        )

    def record(self, slowdown: float, reported_ms: float) -> None:
        """Record a report, unless a newer one is known."""
        if reported_ms < self.reported_ms:
            return
        elapsed_ms = min(reported_ms - self.reported_ms, MAX_REPORT_AGE_MS)
        share = -math.expm1(-elapsed_ms / LASTING_TIME_CONSTANT_MS)
        self.lasting += share * (slowdown - self.lasting)
        self.reported = slowdown
        self.reported_ms = reported_ms


class _Sample(NamedTuple):
    """The newest report of a runner of any home that this node has seen."""

    slowdown: float
    reported_ms: float


class _PoolReference(NamedTuple):
    """What the runners of a pool are compared with; None if unknown."""

    current: float | None = None
    """Newest reported slowdown of the usual runner, the larger of two estimates."""
    reported: float = MIN_SLOWDOWN
    """Mean of the lasting reported slowdowns."""
    lasting: float | None = None
    """Mean lasting slowdown."""


class SpeedEstimate(NamedTuple):
    """Estimated speed of a runner."""

    reported: float
    """Slowdown in the newest report, after trust in the runner's reports; 1 is the
    usual speed."""
    current: float
    """The same, decayed with the age of the report."""
    lasting: float
    """Lasting slowdown relative to the calls' usual times."""
    trust: float
    """Trust in the runner's reports, from 0 to 1."""
    load_weight: float
    """Weight of the runner's load bound, from 0.5 to 1."""


USUAL_ESTIMATE = SpeedEstimate(MIN_SLOWDOWN, MIN_SLOWDOWN, MIN_SLOWDOWN, 1.0, 1.0)


def current_key(pool: str) -> str:
    """Return the key under which the pool's current slowdown is averaged."""
    return f"\0slowdown:{pool}"


def lasting_key(pool: str) -> str:
    """Return the key under which the pool's lasting slowdown is averaged."""
    return f"\0lasting:{pool}"


class RunnerSpeeds:
    """Estimate the speed of runners from their reports and response times.

    A home has few of a pool's runners. The pool's mean slowdown comes from the gossip
    of all homes; it is above the median as long as less than half of the runners are
    slow, and errs to granting. It lags by about a second, so that the median of the
    reports seen at this node is used if that is higher.
    """

    def __init__(self, *, mean_load: MeanLoadEstimator) -> None:
        self._mean_load = mean_load
        self._states: dict[str, _State] = {}
        self._samples: dict[str, dict[str, _Sample]] = {}
        self._references: dict[str, _PoolReference] = {}
        self._refreshed_ms = -math.inf

    def record_sample(
        self, runner_id: str, pool: str, report: SpeedReport, *, now_ms: float
    ) -> None:
        """Record a report for the pool's median, whoever is the runner's home.

        A report older than the known one of the runner is ignored.
        """
        samples = self._samples.setdefault(pool, {})
        known = samples.get(runner_id)
        if known is None or known.reported_ms <= now_ms:
            samples[runner_id] = _Sample(_to_slowdown(report), now_ms)

    def record_report(
        self,
        runner_id: str,
        pool: str,
        report: SpeedReport,
        *,
        age_ms: float = 0.0,
        now_ms: float,
    ) -> None:
        """Record a report of a runner whose home is this node."""
        if age_ms > MAX_REPORT_AGE_MS:
            return
        self.record_sample(runner_id, pool, report, now_ms=now_ms - age_ms)
        self._state(runner_id, pool).record(_to_slowdown(report), now_ms - age_ms)

    def record_response_time(
        self, runner_id: str, pool: str, *, time_percent: int, now_ms: float
    ) -> None:
        """Record how long an answer took, in percent of its route's mean."""
        ratio = min(MAX_SLOWDOWN, time_percent / USUAL_PERCENT)
        self._state(runner_id, pool).times.add(ratio, now_ms=now_ms)

    def estimate(self, runner_id: str, *, now_ms: float) -> SpeedEstimate:
        """Return the estimated speed of a runner; the usual one if unknown."""
        state = self._states.get(runner_id)
        if state is None:
            return USUAL_ESTIMATE
        reference = self._references.get(state.pool, _PoolReference())
        lasting = _lasting(state, now_ms)
        trust = _compute_trust(state, reference, now_ms)
        reported = MIN_SLOWDOWN + trust * (_reported(state, now_ms) - MIN_SLOWDOWN)
        current = MIN_SLOWDOWN + trust * (_decayed(state, now_ms) - MIN_SLOWDOWN)
        weight = 1.0
        if reference.lasting is not None:
            weight = max(MIN_LOAD_WEIGHT, min(1.0, reference.lasting / lasting))
        return SpeedEstimate(reported, current, lasting, trust, weight)

    def pool_slowdown(self, pool: str) -> float | None:
        """Return the reported slowdown of the pool's usual runner; None if unknown.

        To be compared with a runner's ``reported``, not with its decayed ``current``:
        where calls are rare, the mean of decayed reports is far below a new report, and
        each runner of a slow pool would look exceptional.
        """
        return self._references.get(pool, _PoolReference()).current

    def runner_ids(self) -> list[str]:
        """Return the runners with reports or response times."""
        return list(self._states)

    def remove_runner(self, runner_id: str) -> None:
        """Remove a runner that restarted, left or moved to another home."""
        state = self._states.pop(runner_id, None)
        if state is not None:
            self._samples.get(state.pool, {}).pop(runner_id, None)

    def refresh(self, *, now_ms: float) -> None:
        """Update the pools' references and this node's shares of their means."""
        elapsed_ms = min(now_ms - self._refreshed_ms, MAX_REPORT_AGE_MS)
        self._refreshed_ms = now_ms
        by_pool: dict[str, list[str]] = {}
        for runner_id, state in self._states.items():
            by_pool.setdefault(state.pool, []).append(runner_id)
        for pool in by_pool.keys() | self._references.keys():
            self._refresh_pool(pool, by_pool.get(pool, []), elapsed_ms, now_ms)
        for pool in self._references.keys() - by_pool.keys():
            del self._references[pool]
        for pool in list(self._samples):
            self._drop_old_samples(pool, now_ms)

    def _refresh_pool(
        self, pool: str, runner_ids: list[str], elapsed_ms: float, now_ms: float
    ) -> None:
        current = [
            self._states[runner_id].reported
            for runner_id in runner_ids
            if now_ms - self._states[runner_id].reported_ms <= MAX_REPORT_AGE_MS
        ]
        lasting = [
            _lasting(self._states[runner_id], now_ms)
            for runner_id in runner_ids
            if now_ms - self._states[runner_id].reported_ms <= MAX_SILENT_MS
        ]
        self._mean_load.set_local(
            current_key(pool), load=sum(current), runners=len(current)
        )
        self._mean_load.set_local(
            lasting_key(pool), load=sum(lasting), runners=len(lasting)
        )
        samples = self._fresh_samples(pool, now_ms)
        fleet_current = self._mean_load.mean(current_key(pool))
        fleet_lasting = self._mean_load.mean(lasting_key(pool))
        known = [fleet_current] if fleet_current > 0.0 else []
        old = self._references.get(pool, _PoolReference())
        reported = old.reported
        if known or len(samples) >= MIN_SAMPLES:
            observed = fleet_current or fmean(samples)
            share = -math.expm1(-elapsed_ms / LASTING_TIME_CONSTANT_MS)
            reported += share * (observed - reported)
        if len(samples) >= MIN_SAMPLES:
            known.append(median(samples))
        if not fleet_lasting and len(lasting) >= MIN_SAMPLES:
            fleet_lasting = fmean(lasting)
        self._references[pool] = _PoolReference(
            current=max(known, default=None),
            reported=reported,
            lasting=fleet_lasting or None,
        )

    def _fresh_samples(self, pool: str, now_ms: float) -> list[float]:
        """Return the slowdowns of the samples of a pool.

        Only the most recent samples count if there are enough of them: when a whole
        pool slows down, older ones would make the first reports look exceptional.
        """
        self._drop_old_samples(pool, now_ms)
        samples = self._samples.get(pool, {})
        recent = [
            sample.slowdown
            for sample in samples.values()
            if now_ms - sample.reported_ms <= CURRENT_TIME_CONSTANT_MS
        ]
        if len(recent) >= MIN_SAMPLES:
            return recent
        return [sample.slowdown for sample in samples.values()]

    def _drop_old_samples(self, pool: str, now_ms: float) -> None:
        samples = self._samples.get(pool, {})
        for runner_id, sample in list(samples.items()):
            if now_ms - sample.reported_ms > MAX_REPORT_AGE_MS:
                del samples[runner_id]
        if not samples:
            self._samples.pop(pool, None)

    def _state(self, runner_id: str, pool: str) -> _State:
        state = self._states.get(runner_id)
        if state is None:
            state = self._states[runner_id] = _State(pool)
        return state


def _to_slowdown(report: SpeedReport) -> float:
    slowdown = report.slowdown_percent / USUAL_PERCENT
    return max(MIN_SLOWDOWN, min(MAX_SLOWDOWN, slowdown))


def _reported(state: _State, now_ms: float) -> float:
    """Return the newest reported slowdown, or the usual one if it is too old."""
    if now_ms - state.reported_ms > MAX_REPORT_AGE_MS:
        return MIN_SLOWDOWN
    return state.reported


def _decayed(state: _State, now_ms: float) -> float:
    """Return the reported slowdown, decayed toward the usual speed with its age."""
    age_ms = max(0.0, now_ms - state.reported_ms)
    excess = _reported(state, now_ms) - MIN_SLOWDOWN
    return MIN_SLOWDOWN + excess * math.exp(-age_ms / CURRENT_TIME_CONSTANT_MS)


def _lasting(state: _State, now_ms: float) -> float:
    """Return the lasting slowdown, from response times if there are enough."""
    if state.times.weight(now_ms=now_ms) >= MIN_ANSWERS:
        return state.times.mean()
    return _lasting_reported(state, now_ms)


def _lasting_reported(state: _State, now_ms: float) -> float:
    """Return the lasting reported slowdown, decayed after the last valid report."""
    silent_ms = max(0.0, now_ms - state.reported_ms - MAX_REPORT_AGE_MS)
    excess = state.lasting - MIN_SLOWDOWN
    return MIN_SLOWDOWN + excess * math.exp(-silent_ms / LASTING_TIME_CONSTANT_MS)


def _compute_trust(state: _State, reference: _PoolReference, now_ms: float) -> float:
    """Return the trust in the reports of a runner, from 0 to 1.

    A runner that reports a lasting slowdown but answers as fast as the others is
    trusted less.
    """
    reported_ratio = _lasting_reported(state, now_ms) / reference.reported
    if reported_ratio < MIN_DOUBTED_RATIO:
        return 1.0
    if state.times.weight(now_ms=now_ms) < MIN_ANSWERS:
        return 1.0
    observed_ratio = state.times.mean() / (reference.lasting or MIN_SLOWDOWN)
    expected_excess = DOUBT_LENIENCY * (reported_ratio - 1.0)
    return max(0.0, min(1.0, (observed_ratio - 1.0) / expected_excess))
