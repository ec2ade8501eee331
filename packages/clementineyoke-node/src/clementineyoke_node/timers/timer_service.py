"""The one place that runs periodic work; parts subscribe to it."""

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
    """Own a task for each subscription; ends them all when it is closed."""

    def __init__(self) -> None:
        self._tasks = BackgroundTasks()

    @staticmethod
    def now_ms() -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_S

    @staticmethod
    def wall_ms() -> int:
        """Return the wall clock in milliseconds since the epoch."""
        return round(time.time() * MS_PER_S)

    def subscribe(
        self, name: str, *, interval_ms: float, call: Callable[[], Awaitable[None]]
    ) -> None:
        """Call something again and again, with a pause after each call."""
        self._tasks.spawn(self._repeat(name, interval_ms, call), name=name)

    async def __aenter__(self) -> Self:
        """Begin to own tasks."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End every subscription."""
        await self._tasks.__aexit__(*exc_info)

    async def _repeat(
        self, name: str, interval_ms: float, call: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            # A subscriber's fault must not end its timer silently: what it guards
            # (renewals, probes) would stop, seen only as slow decay of the node.
            try:
                await call()
            except Exception as error:
                log_failure(Event.TIMER_FAILED, error, timer=name)
            await asyncio.sleep(interval_ms / MS_PER_S)
