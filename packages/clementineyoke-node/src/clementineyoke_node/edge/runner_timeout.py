"""Soft and hard timeout of one wait for a runner."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MS_PER_S = 1000.0
MIN_TIMEOUT_MS = 1.0


class RunnerTimeout(NamedTuple):
    """The timeouts of a wait for the next data from a runner."""

    soft_timeout_ms: float
    """After this the runner is abandoned if ``may_retry`` returns true."""
    hard_timeout_ms: float
    """After this the runner is abandoned in any case."""
    may_retry: Callable[[], bool]
    """Returns whether another runner may be tried now."""

    @asynccontextmanager
    async def enforce(self) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the block when the runner is abandoned.

        ``may_retry`` is called when the soft timeout expires, not before: what is left
        of the retry budget changes while the runner is silent.
        """
        loop = asyncio.get_running_loop()
        hard_timeout_ms = max(MIN_TIMEOUT_MS, self.hard_timeout_ms)
        async with asyncio.timeout(hard_timeout_ms / MS_PER_S) as scope:

            def on_soft_timeout() -> None:
                if self.may_retry():
                    scope.reschedule(loop.time())

            if self.soft_timeout_ms >= hard_timeout_ms:
                yield
                return
            timer = loop.call_later(self.soft_timeout_ms / MS_PER_S, on_soft_timeout)
            try:
                yield
            finally:
                timer.cancel()
