"""Decides whether answers that end with their connections are whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_wire.events import Event

if TYPE_CHECKING:
    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.caller_stream import CallerStream
    from clementineyoke_node.edge.runner_liveness import EndCheck
    from clementineyoke_node.edge.runner_response import OpenResponse
    from clementineyoke_node.metrics import Metrics


class AnswerEnds:
    """Check the ends of answers that have no length, and record the results."""

    def __init__(
        self, *, table: RunnerTable, metrics: Metrics, decisions: DecisionRing
    ) -> None:
        self._table = table
        self._metrics = metrics
        self._decisions = decisions

    async def check(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        response: OpenResponse,
        stream: CallerStream,
        *,
        step: str,
    ) -> None:
        """Raise ``AttemptError`` if an answer may have ended because its runner did."""
        if response.end_check is None:
            return
        end_check = response.end_check
        try:
            await end_check.finish(
                step=step,
                may_go_on=self._has_other_runner(admitted, runner, stream),
                is_draining=self._table.is_draining,
                was_learnt=self._table.ends.was_learnt,
            )
        except AttemptError as error:
            if end_check.is_slight_doubt:
                stream.record_doubted_end()
            self._record(admitted, runner, end_check, stream, doubt=error.reason)
            raise
        self._record(admitted, runner, end_check, stream, doubt="")

    def _has_other_runner(
        self, admitted: AdmittedCall, runner: Runner, stream: CallerStream
    ) -> bool:
        """Return whether another runner may produce the rest of a response now.

        Where two runners have ended an answer at the same event, a third is not asked.
        No other one may answer a call that may run only once.
        """
        if stream.has_confirmed_end or not admitted.route.may_repeat:
            return False
        if not may_go_on(admitted, stream):
            return False
        return self._table.has_other_ready(runner, version=stream.version)

    def _record(
        self,
        admitted: AdmittedCall,
        runner: Runner,
        end_check: EndCheck,
        stream: CallerStream,
        *,
        doubt: str,
    ) -> None:
        self._metrics.ends_by_connection.inc(
            {"pool": runner.pool, "result": "cut" if doubt else "whole"}
        )
        self._decisions.record(
            Event.END_CHECKED,
            request_id=admitted.call.call_id,
            runner=runner.runner_id,
            runner_born_ms=runner.born_ms,
            is_whole=not doubt,
            reason=doubt,
            waited_ms=round(end_check.waited_ms),
            age_ms=round(end_check.findings.age_ms),
            has_open_connection=end_check.findings.is_proven,
            last_event=stream.last_event_id,
        )


def may_go_on(admitted: AdmittedCall, stream: CallerStream) -> bool:
    """Return whether another runner may produce the rest of a response.

    A call that may run again need not get the same events again.
    """
    if not stream.sent_event_count:
        return True
    return admitted.route.is_resumable and stream.has_position
