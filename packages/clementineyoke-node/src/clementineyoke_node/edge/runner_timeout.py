"""Soft and hard timeout of one wait for a runner."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MS_PER_S = 1000.0
MIN_TIMEOUT_MS = 1.0
MAX_TIMER_DELAY_MS = 100.0
"""A timer that fires later than this has not measured the runner's silence: the event
loop stood still, and has not read what the runner sent meanwhile."""
BUSY_RETRY_MS = 100.0


class SuccessorSearch(Protocol):
    """Finds another runner for a call while its runner is silent."""

    def start(self, on_ready: Callable[[], None]) -> bool:
        """Start, and call ``on_ready`` when the runner may be left.

        Returns False while an earlier search goes on.
        """

    async def stop(self) -> None:
        """End the search: the runner goes on."""


class RunnerTimeout(NamedTuple):
    """The timeouts of a wait for the next data from a runner."""

    soft_timeout_ms: float
    """After this another runner is sought. The runner is left once that has the call.
    """
    hard_timeout_ms: float
    """After this the runner is abandoned in any case."""
    failover: SuccessorSearch

    @asynccontextmanager
    async def enforce(self) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the block when the runner is left."""
        hard_timeout_ms = max(MIN_TIMEOUT_MS, self.hard_timeout_ms)
        async with asyncio.timeout(hard_timeout_ms / MS_PER_S) as scope:
            if self.soft_timeout_ms >= hard_timeout_ms:
                yield
                return
            with _SoftTimer(self, scope) as timer:
                yield
        if timer.has_started_search:
            await self.failover.stop()


class _SoftTimer:
    """Starts the failover of a runner that is silent for the soft timeout."""

    def __init__(self, timeout: RunnerTimeout, scope: asyncio.Timeout) -> None:
        self._timeout = timeout
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._is_over = False
        self.has_started_search = False

    def __enter__(self) -> _SoftTimer:
        self._schedule(self._timeout.soft_timeout_ms)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_over = True
        self._timer.cancel()

    def _schedule(self, delay_ms: float) -> None:
        self._due_s = self._loop.time() + delay_ms / MS_PER_S
        self._timer = self._loop.call_at(self._due_s, self._fire)

    def _fire(self) -> None:
        late_ms = (self._loop.time() - self._due_s) * MS_PER_S
        if late_ms > MAX_TIMER_DELAY_MS:
            self._schedule(self._timeout.soft_timeout_ms)
        elif self._timeout.failover.start(self._leave):
            self.has_started_search = True
        else:
            self._schedule(BUSY_RETRY_MS)

    def _leave(self) -> None:
        if not self._is_over:
            self._scope.reschedule(self._loop.time())
