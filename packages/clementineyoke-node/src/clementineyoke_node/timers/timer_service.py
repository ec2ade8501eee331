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
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_S

    @staticmethod
    def suspended_ms() -> float:
        """Return how long the machine has been suspended since it was booted.

        The monotonic time does not count that, so that no timer fires late.
        """
        boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return (boot_s - time.monotonic()) * MS_PER_S

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
