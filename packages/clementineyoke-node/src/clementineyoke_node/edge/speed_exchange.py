"""Forwards the runners' reports of their speed, and applies those of other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.capacity.reporting_pools import ReportingPools
from clementineyoke_core.capacity.response_times import ResponseTimes
from clementineyoke_core.capacity.runner_speeds import (
    RunnerSpeeds,
    current_key,
    lasting_key,
)
from clementineyoke_core.capacity.speed_report import SpeedReport
from clementineyoke_core.capacity.speed_report_queue import SpeedReportQueue
from clementineyoke_core.capacity.speed_rule import SpeedRule
from clementineyoke_core.hashing import hash_text
from clementineyoke_node.edge.speed_log import SpeedLog
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.messages import RunnerSpeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.capacity.response_times import AnswerKind
    from clementineyoke_core.capacity.speed_report_queue import QueuedReport
    from clementineyoke_core.grants.grant_rule import GrantRequest, GrantRule
    from clementineyoke_core.mean_load import MeanLoadEstimator
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_homes import RunnerHomes
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.platform.runner_codec import ResponseHead
    from clementineyoke_node.timers.timer_service import TimerService
    from clementineyoke_wire.messages import Gossip

MIN_GOSSIP_RUNNERS = 0.001
"""Share of reporting runners in a peer's gossip from which the pool counts as
reporting. Shares decay once no runner reports, so that nodes do not remind each other
of the pool for good."""


class SpeedExchange:
    """Own a node's knowledge of runner speeds, as home and as caller of runners.

    Without reports in a pool it sends nothing about the pool and lowers no bound.
    """

    def __init__(
        self,
        *,
        is_enabled: bool,
        membership: Membership,
        table: RunnerTable,
        homes: RunnerHomes,
        mean_load: MeanLoadEstimator,
        socket: PeerSocket,
        timers: TimerService,
        metrics: Metrics,
        on_reporting_pools: Callable[[], None],
    ) -> None:
        """Create the exchange.

        ``is_enabled`` is the setting ``speed_weighting``. ``on_reporting_pools`` is
        called after the set of reporting pools, and so ``gossip_keys``, has changed.
        """
        self._is_enabled = is_enabled
        self._membership = membership
        self._own_id = membership.local_node.node_id
        self._table = table
        self._homes = homes
        self._socket = socket
        self._timers = timers
        self._metrics = metrics
        self._on_reporting_pools = on_reporting_pools
        self._speeds = RunnerSpeeds(mean_load=mean_load)
        self._reporting = ReportingPools()
        self._response_times = ResponseTimes()
        self._queue = SpeedReportQueue()
        self._log = SpeedLog()
        self._homed: dict[int, Runner] = {}
        """The runners whose home is this node, by the hash of their lifetime."""
        self._pools_by_key_hash: dict[int, str] = {}
        self._rule = SpeedRule(speeds=self._speeds, pool_of=self._pool_of)
        self.rules: tuple[GrantRule, ...] = ()
        if is_enabled:
            self.rules = (self._rule,)
            socket.handle(RunnerSpeed, self._receive)

    def has_reports(self, pool: str) -> bool:
        """Return whether the feature is on and runners of a pool report their speed."""
        return self._reporting.has_reports(pool)

    def gossip_keys(self) -> set[str]:
        """Return the keys under which speeds are averaged over the fleet."""
        return {
            key
            for pool in self._reporting.pools()
            for key in (current_key(pool), lasting_key(pool))
        }

    def rebuild(self) -> None:
        """Recompute which runners this node is home of, and drop the others."""
        if not self._is_enabled:
            return
        runners = [entry.runner for entry in self._table.entries()]
        self._homed = {
            runner.lifetime_hash: runner
            for runner in runners
            if self._homes.home_of(runner.runner_id) == self._own_id
        }
        self._pools_by_key_hash = {
            hash_text(lasting_key(pool)): pool
            for pool in {runner.pool for runner in runners}
        }
        homed_ids = {runner.runner_id for runner in self._homed.values()}
        for runner_id in self._speeds.runner_ids():
            if runner_id not in homed_ids:
                self._speeds.remove_runner(runner_id)
        self._log.retain(homed_ids)

    def record_head(self, runner: Runner, head: ResponseHead) -> None:
        """Record the report in the head of a response, if there is one."""
        if head.has_malformed_load:
            self._metrics.malformed_load_headers.inc({"pool": runner.pool})
        if not self._is_enabled or head.speed is None:
            return
        if not self._table.is_current(runner):
            return
        now_ms = self._timers.now_ms()
        self._record_reporting(runner.pool, now_ms)
        self._speeds.record_sample(
            runner.runner_id, runner.pool, head.speed, now_ms=now_ms
        )
        if runner.lifetime_hash in self._homed:
            self._speeds.record_report(
                runner.runner_id, runner.pool, head.speed, now_ms=now_ms
            )
            return
        self._queue.put(runner, head.speed, now_ms=now_ms)
        self._send_due(now_ms)

    def compare_time(self, kind: AnswerKind, time_ms: float) -> int:
        """Return an answer's time in percent of the usual one, or 0 if unknown."""
        if not self.has_reports(kind.pool):
            return 0
        return self._response_times.compare(
            kind, time_ms=time_ms, now_ms=self._timers.now_ms()
        )

    def record_response_time(self, runner_id: str, time_percent: int) -> None:
        """Record the time of an answer, unless the runner has another home.

        A release may arrive at a former home, whose estimates would count twice in the
        pool's means.
        """
        if self._homes.home_of(runner_id) != self._own_id:
            return
        pool = self._pool_of(runner_id)
        if pool is not None and self.has_reports(pool):
            self._speeds.record_response_time(
                runner_id,
                pool,
                time_percent=time_percent,
                now_ms=self._timers.now_ms(),
            )

    def record_gossip(self, gossip: Gossip) -> None:
        """Learn from a peer's gossip which pools have runners that report."""
        for load in gossip.loads:
            pool = self._pools_by_key_hash.get(load.pool)
            if pool is not None and load.runners > MIN_GOSSIP_RUNNERS:
                self._record_reporting(pool, self._timers.now_ms())

    def load_weight(self, request: GrantRequest) -> float:
        """Return the share of its load bound that a runner may use, from 0.5 to 1."""
        return self._rule.load_weight(request) if self._is_enabled else 1.0

    def refresh(self) -> None:
        """Send reports that are due, and update the pools' means."""
        now_ms = self._timers.now_ms()
        self._send_due(now_ms)
        self._speeds.refresh(now_ms=now_ms)

    def run_housekeeping(self) -> None:
        """Drop what has expired, and log lasting changes."""
        now_ms = self._timers.now_ms()
        self._queue.expire(now_ms=now_ms)
        pools = self._reporting.pools()
        self._reporting.expire(now_ms=now_ms)
        if pools != self._reporting.pools():
            self._on_reporting_pools()
        for runner_id in self._speeds.runner_ids():
            estimate = self._speeds.estimate(runner_id, now_ms=now_ms)
            self._log.update(runner_id, estimate)

    def update_metrics(self, metrics: Metrics) -> None:
        """Set the gauges of the runners whose home is this node."""
        now_ms = self._timers.now_ms()
        for runner_id in self._speeds.runner_ids():
            estimate = self._speeds.estimate(runner_id, now_ms=now_ms)
            values = {"current": estimate.current, "lasting": estimate.lasting}
            for kind, value in values.items():
                labels = {
                    "runner": runner_id,
                    "pool": self._pool_of(runner_id) or "",
                    "kind": kind,
                }
                metrics.runner_slowdown.set(labels, value)

    def _record_reporting(self, pool: str, now_ms: float) -> None:
        if self._reporting.record(pool, now_ms=now_ms):
            self._on_reporting_pools()

    def _send_due(self, now_ms: float) -> None:
        for queued in self._queue.take_due(now_ms=now_ms):
            home_id = self._homes.home_of(queued.runner.runner_id)
            home = None if home_id is None else self._membership.node(home_id)
            if home is not None:
                message = _to_message(queued, now_ms)
                self._socket.send(PeerAddress.of(home), message)

    def _receive(self, received: PeerMessage) -> None:
        message: RunnerSpeed = received.message
        runner = self._homed.get(message.runner)
        if runner is None:
            return
        now_ms = self._timers.now_ms()
        self._record_reporting(runner.pool, now_ms)
        report = SpeedReport(
            message.running, message.waiting, message.slots, message.slowdown_percent
        )
        self._speeds.record_report(
            runner.runner_id,
            runner.pool,
            report,
            age_ms=float(message.age_ms),
            now_ms=now_ms,
        )

    def _pool_of(self, runner_id: str) -> str | None:
        entry = self._table.get(runner_id)
        return None if entry is None else entry.runner.pool


def _to_message(queued: QueuedReport, now_ms: float) -> RunnerSpeed:
    report = queued.report
    return RunnerSpeed(
        queued.runner.lifetime_hash,
        report.running,
        report.waiting,
        report.slots,
        report.slowdown_percent,
        max(0, round(now_ms - queued.received_ms)),
    )
