"""Reports failing runners to their homes, but not a path that this node has lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.reach_verdict import ReachVerdict
from clementineyoke_node.edge.runner_liveness import PROBE_DELAY_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.attempt_error import AttemptError
    from clementineyoke_node.edge.reach_monitor import ReachMonitor
    from clementineyoke_node.edge.reach_witnesses import ReachWitnesses
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.slots.slot_broker import SlotBroker
    from clementineyoke_node.timers.background_tasks import BackgroundTasks

MS_PER_S = 1000.0


class FaultReports:
    """Find out why calls to a runner failed before its home is told.

    Calls also break or get no answer when the path to the runner is lost. Other nodes
    may reach it, and would lose it if the failure counted as the runner's.
    """

    def __init__(
        self,
        *,
        broker: SlotBroker,
        monitor: ReachMonitor,
        witnesses: ReachWitnesses,
        tasks: BackgroundTasks,
        connection_pool: RunnerConnectionPool,
    ) -> None:
        self._refuses = connection_pool.refuses_connection
        self._broker = broker
        self._monitor = monitor
        self._witnesses = witnesses
        self._tasks = tasks
        self._probe = connection_pool.accepts_connection
        self._checked_lifetimes: set[str] = set()

    def record_unreachable(self, runner: Runner) -> None:
        """Report a runner that accepted no connection."""
        if not self._monitor.is_isolated(runner.pool):
            self._broker.report_fault(runner, is_unreachable=True)

    def record_overdue(self, runner: Runner) -> None:
        """Report a runner whose answer is overdue, if it is in reach."""
        self._tasks.spawn(self._check_overdue(runner), name="check_overdue")

    def record_broken(self, runner: Runner, *, calls: int) -> None:
        """Report calls that broke at a runner that is in reach or has ended."""
        for _ in range(calls):
            self._broker.report_fault(runner)

    async def has_ended(self, runner: Runner) -> bool:
        """Return whether a runner that this node does not reach has ended.

        It has not if another node reaches it. If nobody reaches any runner of the pool,
        all of them may have ended; a host that refuses the connection is in reach.
        """
        self._monitor.record_unreachable(runner)
        self.record_unreachable(runner)
        verdict = await self._witnesses.ask(runner)
        if verdict is ReachVerdict.UNKNOWN:
            return await self._refuses(runner)
        return verdict is ReachVerdict.UNREACHABLE

    def check_end(
        self, runner: Runner, error: AttemptError, *, on_end: Callable[[Runner], None]
    ) -> None:
        """Call ``on_end`` if a failed call shows that a runner has ended.

        Connections are reset for other reasons as well; only a host that refuses a new
        one shows that the runner's process is gone.
        """
        if error.is_refused:
            on_end(runner)
        elif (
            error.is_connection_lost and runner.lifetime not in self._checked_lifetimes
        ):
            self._checked_lifetimes.add(runner.lifetime)
            self._tasks.spawn(self._check_end(runner, on_end), name="check_end")

    async def _check_end(
        self, runner: Runner, on_end: Callable[[Runner], None]
    ) -> None:
        try:
            await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
            if await self._refuses(runner):
                on_end(runner)
        finally:
            self._checked_lifetimes.discard(runner.lifetime)

    async def _check_overdue(self, runner: Runner) -> None:
        if self._monitor.is_isolated(runner.pool):
            return
        if await self._probe(runner):
            self._monitor.record_connected(runner)
            self._broker.report_fault(runner)
            return
        self._monitor.record_unreachable(runner)
        self.record_unreachable(runner)
