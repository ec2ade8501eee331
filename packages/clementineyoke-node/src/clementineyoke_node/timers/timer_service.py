"""Runs the periodic work of all components."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Self

from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MS_PER_S = 1000.0


class TimerService:
    """Own one task per subscription; cancels all on close."""

    def __init__(self) -> None:
        self._tasks = BackgroundTasks()

    @staticmethod
    def now_ms() -> float:
        """Return the monotonic time in milliseconds.

        It goes on while the machine is suspended: what this node knows is older then.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    @classmethod
    def from_loop_time_ms(cls, loop_s: float) -> float:
        """Return a time of the event loop as one of ``now_ms``.

        The loop does not count the time for which the machine is suspended, so that a
        time from before that is returned as a later one.
        """
        return cls.now_ms() - (time.monotonic() - loop_s) * MS_PER_S

    @staticmethod
    def wall_ms() -> int:
        """Return the wall clock in milliseconds since the epoch."""
        return round(time.time() * MS_PER_S)

    def subscribe(
        self, name: str, *, interval_ms: float, callback: Callable[[], Awaitable[None]]
    ) -> None:
        """Call a function repeatedly, pausing for the interval after each call."""
        self._tasks.spawn(self._repeat(name, interval_ms, callback), name=name)

    async def __aenter__(self) -> Self:
        """Return the service; timers are started by ``subscribe``."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Cancel all subscriptions."""
        await self._tasks.__aexit__(*exc_info)

    async def _repeat(
        self, name: str, interval_ms: float, call: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            # An exception must not end the timer silently: renewals or probes would
            # stop, which shows only as a slow degradation of the node.
            try:
                await call()
            except Exception as error:
                log_failure(Event.TIMER_FAILED, error, timer=name)
            await asyncio.sleep(interval_ms / MS_PER_S)
