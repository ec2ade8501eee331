"""What runners say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.platform.runner_codec import AnswerHead
    from clementineyoke_node.timers.timer_service import TimerService


class RunnerWords:
    """Hear what the head of each answer says of its runner."""

    def __init__(
        self,
        *,
        table: RunnerTable,
        timers: TimerService,
        decisions: DecisionRing,
        on_leaving: Callable[[Runner], bool],
    ) -> None:
        """Take the parts; ``on_leaving`` tells whether a runner's leaving is news."""
        self._table = table
        self._timers = timers
        self._decisions = decisions
        self._on_leaving = on_leaving

    def hear(self, runner: Runner, call: EdgeCall, head: AnswerHead) -> None:
        """Take what an answer, a refusal or the beginning of a stream says."""
        if head.is_leaving and self._on_leaving(runner):
            self._decisions.record(
                Event.RUNNER_LEAVING,
                request_id=call.call_id,
                runner=runner.runner_id,
                status=head.status,
            )
        if head.rest_ms and self._table.record_rest(
            runner, rest_ms=head.rest_ms, now_ms=self._timers.now_ms()
        ):
            self._decisions.record(
                Event.RUNNER_RESTING,
                request_id=call.call_id,
                runner=runner.runner_id,
                status=head.status,
                rest_ms=round(head.rest_ms),
            )
