"""Reports a runner whose response is long overdue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1000.0


class OverdueTimer:
    """Calls ``on_overdue`` once, unless it is stopped or its block ends before.

    A runner may accept calls and never answer. Calls that may not be sent again wait
    there until their deadline, and more calls follow until the runner is reported.
    """

    def __init__(self, *, after_ms: float, on_overdue: Callable[[], None]) -> None:
        self._after_ms = after_ms
        self._on_overdue = on_overdue
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start the timer."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._after_ms / MS_PER_S, self._on_overdue)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Cancel the timer."""
        self.stop()

    def stop(self) -> None:
        """Cancel the timer; called when the first data arrives."""
        if self._timer is not None:
            self._timer.cancel()
