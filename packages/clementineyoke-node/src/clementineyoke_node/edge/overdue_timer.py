"""Report a runner whose answer is long overdue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1000.0


class OverdueAlarm:
    """Go off once unless it is stopped in time or its block ends.

    A runner may take calls and never answer. Calls that may not be sent again wait out
    their time there; without a word meanwhile the next ones follow them.
    """

    def __init__(self, *, after_ms: float, call: Callable[[], None]) -> None:
        self._after_ms = after_ms
        self._call = call
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Begin to wait."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._after_ms / MS_PER_S, self._call)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop waiting."""
        self.stop()

    def stop(self) -> None:
        """Stop waiting: the answer has come."""
        if self._timer is not None:
            self._timer.cancel()
