"""Applies the drain and backoff signals that runners send in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.brittle_pools import BrittlePools
    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.platform.runner_codec import ResponseHead
    from clementineyoke_node.timers.timer_service import TimerService

MISDIRECTED_STATUS = 421
"""Comes from another runner at the address, which speaks for its own pool."""


class RunnerSignals:
    """Applies the drain and backoff signals in the head of each response."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        timers: TimerService,
        decisions: DecisionRing,
        on_draining: Callable[[Runner], bool],
        brittle_pools: BrittlePools,
        on_head: Callable[[Runner, ResponseHead], None] = lambda _, __: None,
    ) -> None:
        """Create the handler.

        ``on_draining`` returns whether the drain was unknown. ``on_head`` is called
        with each head.
        """
        self._table = table
        self._timers = timers
        self._decisions = decisions
        self._on_draining = on_draining
        self._brittle_pools = brittle_pools
        self._on_head = on_head

    def apply(self, runner: Runner, call: EdgeCall, head: ResponseHead) -> None:
        """Apply the signals in the head of a response, refusal or stream."""
        self._on_head(runner, head)
        self._apply_brittle(runner, head)
        if head.is_draining and self._on_draining(runner):
            self._decisions.record(
                Event.RUNNER_DRAINING,
                request_id=call.call_id,
                runner=runner.runner_id,
                status=head.status,
            )
        if head.retry_after_ms and self._table.record_backoff(
            runner, backoff_ms=head.retry_after_ms, now_ms=self._timers.now_ms()
        ):
            self._decisions.record(
                Event.RUNNER_BACKOFF,
                request_id=call.call_id,
                runner=runner.runner_id,
                status=head.status,
                backoff_ms=round(head.retry_after_ms),
            )

    def _apply_brittle(self, runner: Runner, head: ResponseHead) -> None:
        """Record whether the runner is brittle; malformed statements change nothing."""
        if head.status == MISDIRECTED_STATUS or head.has_malformed_rejections:
            return
        limit = head.rejections_per_s
        now_ms = self._timers.now_ms()
        if not self._brittle_pools.record_answer(runner.pool, limit, now_ms=now_ms):
            return
        if limit is None:
            log_event(Event.POOL_ROBUST, pool=runner.pool)
        else:
            log_event(Event.POOL_BRITTLE, pool=runner.pool, rejections_per_s=limit)
