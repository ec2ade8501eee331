"""How long one attempt waits for its runner, and what may end the wait sooner."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MS_PER_S = 1000.0
LEAST_WAIT_MS = 1.0


class RunnerWait(NamedTuple):
    """The bounds of a wait for a runner's next sign of life."""

    patience_ms: float
    """After this the runner is given up if another one may be tried."""
    longest_ms: float
    """After this it is given up whatever may follow."""
    may_go_on: Callable[[], bool]
    """Whether another runner may be tried now."""

    @asynccontextmanager
    async def bounded(self) -> AsyncIterator[None]:
        """End the block with ``TimeoutError`` when the runner is given up.

        Whether another runner may be tried is asked when patience ends, not before:
        what is left of the retry budget changes while the runner is silent.
        """
        loop = asyncio.get_running_loop()
        longest_ms = max(LEAST_WAIT_MS, self.longest_ms)
        async with asyncio.timeout(longest_ms / MS_PER_S) as scope:

            def end_patience() -> None:
                if self.may_go_on():
                    scope.reschedule(loop.time())

            if self.patience_ms >= longest_ms:
                yield
                return
            timer = loop.call_later(self.patience_ms / MS_PER_S, end_patience)
            try:
                yield
            finally:
                timer.cancel()
