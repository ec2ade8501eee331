"""Finds out whether this node reaches the runners of a pool, by opening connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from clementineyoke_core.edge.runner_reach import MIN_FAILED_RUNNERS
from clementineyoke_core.hashing import hash_text
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable
    from random import Random

    from clementineyoke_core.edge.runner_reach import RunnerReach
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
STAGGER_MS = 20.0
"""Time between the starts of connections of one check: a reachable runner accepts
sooner, and one connection is then enough."""
PROBED_RUNNERS = MIN_FAILED_RUNNERS - 1
MAX_FAILURE_MS = 200.0
"""A failure that takes longer is none of the path: connections time out after 120 ms,
and a node that notices it later was itself too busy to see them accepted."""
REPORT_INTERVAL_MS = 1_000.0
"""How often an isolated node tells its peers."""


class ReachMonitor:
    """Keep track of the pools that this node cannot reach.

    After a failed connection it opens others to the pool's runners until one is
    accepted. An isolated node goes on with that, so that it serves its callers itself
    soon after the path is back. Nothing is sent while all connections succeed.

    Failures of a lost path are none of the runners: their quarantines end when the node
    turns out to be isolated.
    """

    def __init__(
        self,
        *,
        reach: RunnerReach,
        table: RunnerTable,
        region: str,
        tasks: BackgroundTasks,
        timers: TimerService,
        rng: Random,
        probe: Callable[[Runner], Awaitable[bool]],
        on_change: Callable[[], None],
        on_repeat: Callable[[], None],
    ) -> None:
        """Create a monitor.

        ``probe`` opens a connection to a runner and returns whether it was accepted.
        ``on_change`` is called when the unreachable pools change, ``on_repeat`` once a
        second while there are any.
        """
        self._reach = reach
        self._table = table
        self._region = region
        self._tasks = tasks
        self._timers = timers
        self._rng = rng
        self._probe = probe
        self._on_change = on_change
        self._on_repeat = on_repeat
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._reported_ms = 0.0

    def unreachable_pool_hashes(self) -> list[int]:
        """Return the pools that this node cannot reach, as told to peers."""
        return [hash_text(pool) for pool in sorted(self._reach.isolated_pools)]

    def is_isolated(self, pool: str) -> bool:
        """Return whether this node reaches no runner of a pool."""
        return self._reach.is_isolated(pool)

    def record_connected(self, runner: Runner) -> None:
        """Record a new connection to a runner."""
        if self._reach.record_connected(runner, now_ms=self._timers.now_ms()):
            self._end_isolation(runner.pool)

    def record_unreachable(self, runner: Runner, *, took_ms: float = 0.0) -> None:
        """Record a failed connection, and check whether others fail as well."""
        if took_ms > MAX_FAILURE_MS or not self._record_failure(runner):
            self.check(runner.pool)

    def check(self, pool: str) -> asyncio.Task[bool]:
        """Check the path to a pool in the background.

        The task returns whether one of a few runners accepts a connection. Concurrent
        checks of a pool share one task.
        """
        running = self._checks.get(pool)
        if running is not None and not running.done():
            return running
        failed = self._reach.failed_runners(pool)
        runners = self._runners(pool)
        self._rng.shuffle(runners)
        runners.sort(key=lambda runner: runner.runner_id in failed)
        check = self._probe_any(runners[:PROBED_RUNNERS])
        self._checks[pool] = self._tasks.spawn(check, name="check_reach")
        return self._checks[pool]

    async def settle(self, pool: str) -> None:
        """Wait for the result of a check that is in progress.

        In a pool that is reached this takes as long as one connection. Otherwise the
        call would fail at one runner after the other.
        """
        running = self._checks.get(pool)
        if running is not None:
            await asyncio.wait({running})

    async def run_round(self) -> None:
        """Check the isolated pools again, and repeat the report to the peers."""
        for pool in sorted(self._reach.isolated_pools):
            if self._runners(pool):
                self.check(pool)
            elif self._reach.clear(pool):
                self._end_isolation(pool)
        now_ms = self._timers.now_ms()
        if (
            self._reach.isolated_pools
            and now_ms >= self._reported_ms + REPORT_INTERVAL_MS
        ):
            self._reported_ms = now_ms
            self._on_repeat()

    def _record_failure(self, runner: Runner) -> bool:
        """Record a failed connection; return whether the node is isolated."""
        pool = runner.pool
        runners = self._runners(pool)
        if runner not in runners:
            return self._reach.is_isolated(pool)  # it ends as planned
        if self._reach.record_unreachable(runner, pool_size=len(runners)):
            log_event(
                Event.POOL_UNREACHABLE,
                pool=pool,
                runners=sorted(self._reach.failed_runners(pool)),
            )
            self._table.release_quarantined(pool)
            self._report()
        return self._reach.is_isolated(pool)

    def _end_isolation(self, pool: str) -> None:
        log_event(Event.POOL_REACHABLE, pool=pool)
        self._report()

    def _report(self) -> None:
        self._reported_ms = self._timers.now_ms()
        self._on_change()

    async def _probe_any(self, runners: Iterable[Runner]) -> bool:
        """Return whether one of several runners accepts a connection."""
        pending: set[asyncio.Task[bool]] = set()
        try:
            for runner in runners:
                pending.add(asyncio.ensure_future(self._probe_one(runner)))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=STAGGER_MS / MS_PER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(task.result() for task in done):
                    return True
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return True
            return False
        finally:
            for task in pending:
                task.cancel()

    async def _probe_one(self, runner: Runner) -> bool:
        started_ms = self._timers.now_ms()
        if await self._probe(runner):
            self.record_connected(runner)
            return True
        if self._timers.now_ms() <= started_ms + MAX_FAILURE_MS:
            self._record_failure(runner)
        return False

    def _runners(self, pool: str) -> list[Runner]:
        """Return the runners of a pool in this region that are not leaving."""
        return [
            entry.runner
            for entry in self._table.entries()
            if entry.runner.pool == pool
            and entry.runner.region == self._region
            and entry.state is not RunnerState.DRAINING
        ]
